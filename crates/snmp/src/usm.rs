//! The User-based Security Model (RFC 3414) with HMAC-SHA-256 (RFC 7860) and AES-128 in cipher
//! feedback mode (RFC 3826): keys, digests and encryption. The engine processes the messages.

use aes::Aes128;
use cfb_mode::cipher::KeyIvInit;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use valehatch_config::snmp::{AUTH_KEY, PRIV_KEY};

/// Length of a digest in a message, in bytes: usmHMAC192SHA256AuthProtocol (RFC 7860, section
/// 4.2.2).
pub const DIGEST_LENGTH: usize = 24;
/// Length to which a password is repeated before it is hashed, in bytes (RFC 3414, section 2.6).
const EXPANDED_PASSWORD_LENGTH: usize = 1_048_576;
/// Minimum length of a password, in bytes (RFC 3414, section 11.2).
pub const MIN_PASSWORD_LENGTH: usize = 8;

/// Derives the key of a password, localized to an engine (RFC 3414, section 2.6 and appendix A.2,
/// with SHA-256). The first 16 bytes are the key for AES-128.
#[must_use]
pub fn localize(password: &[u8], engine: &[u8]) -> [u8; AUTH_KEY] {
    let mut hash = Sha256::new();
    let mut expanded: Vec<u8> = password
        .iter()
        .copied()
        .cycle()
        .take(EXPANDED_PASSWORD_LENGTH.min(password.len() * EXPANDED_PASSWORD_LENGTH))
        .collect();
    hash.update(&expanded);
    expanded.clear();
    let key = hash.finalize();
    Sha256::new()
        .chain_update(key)
        .chain_update(engine)
        .chain_update(key)
        .finalize()
        .into()
}

/// Computes the digest of a whole message whose digest field is filled with zeros.
#[must_use]
pub fn digest(key: &[u8; AUTH_KEY], message: &[u8]) -> [u8; DIGEST_LENGTH] {
    let mut mac = mac(key);
    mac.update(message);
    let mut out = [0; DIGEST_LENGTH];
    out.copy_from_slice(&mac.finalize().into_bytes()[..DIGEST_LENGTH]);
    out
}

/// Whether a digest matches a message; the comparison takes constant time.
#[must_use]
pub fn verify_digest(key: &[u8; AUTH_KEY], message: &[u8], digest: &[u8]) -> bool {
    let mut mac = mac(key);
    mac.update(message);
    digest.len() == DIGEST_LENGTH && mac.verify_truncated_left(digest).is_ok()
}

fn mac(key: &[u8; AUTH_KEY]) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so that this cannot fail.
    Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()))
}

/// The initialization vector of AES (RFC 3826, section 3.1.2.1): engine boots, engine time, salt.
fn initialization_vector(boots: u32, time: u32, salt: [u8; 8]) -> [u8; 16] {
    let mut iv = [0; 16];
    iv[..4].copy_from_slice(&boots.to_be_bytes());
    iv[4..8].copy_from_slice(&time.to_be_bytes());
    iv[8..].copy_from_slice(&salt);
    iv
}

/// Encrypts `data` in place, for the authoritative engine's boots and time.
pub fn encrypt(key: &[u8; PRIV_KEY], (boots, time): (u32, u32), salt: [u8; 8], data: &mut [u8]) {
    let iv = initialization_vector(boots, time, salt);
    cfb_mode::Encryptor::<Aes128>::new(key.into(), &iv.into()).encrypt(data);
}

/// Decrypts `data` in place, for the authoritative engine's boots and time.
pub fn decrypt(key: &[u8; PRIV_KEY], (boots, time): (u32, u32), salt: [u8; 8], data: &mut [u8]) {
    let iv = initialization_vector(boots, time, salt);
    cfb_mode::Decryptor::<Aes128>::new(key.into(), &iv.into()).decrypt(data);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn localized_key_matches_reference_and_differs_by_engine_and_password() {
        // The expected key was computed with another implementation, Python's hashlib.
        let engine = hex::decode("000000000000000000000002").unwrap();
        let key = localize(b"maplesyrup", &engine);
        assert_eq!(
            hex::encode(key),
            "8982e0e549e866db361a6b625d84cccc11162d453ee8ce3a6445c2d6776f0f8b"
        );
        assert_ne!(localize(b"maplesyruq", &engine), key);
        assert_ne!(localize(b"maplesyrup", &engine[1..]), key);
    }

    #[test]
    fn decryption_with_other_boots_or_salt_does_not_restore_plaintext() {
        let (key, salt) = ([7; PRIV_KEY], [1; 8]);
        let mut data = b"a scoped PDU of no round length".to_vec();
        let plain = data.clone();
        encrypt(&key, (1, 2), salt, &mut data);
        assert_ne!(data, plain);
        let decrypted = |boots, salt| {
            let mut data = data.clone();
            decrypt(&key, (boots, 2), salt, &mut data);
            data
        };
        assert_eq!(decrypted(1, salt), plain);
        assert_ne!(decrypted(2, salt), plain);
        assert_ne!(decrypted(1, [2; 8]), plain);
    }

    #[test]
    fn digest_is_valid_for_its_message_and_key_only() {
        let key = [3; AUTH_KEY];
        let right_digest = digest(&key, b"message");
        assert!(verify_digest(&key, b"message", &right_digest));
        assert!(
            !verify_digest(&key, b"messagf", &right_digest)
                && !verify_digest(&[4; AUTH_KEY], b"message", &right_digest)
        );
        assert!(
            !verify_digest(&key, b"message", &right_digest[..12])
                && !verify_digest(&key, b"message", &[])
        );
    }
}
