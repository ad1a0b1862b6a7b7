//! The User-based Security Model (RFC 3414) with HMAC-SHA-256 (RFC 7860) and AES-128 in cipher feedback (RFC 3826): keys,
//! digests, encryption. Messages and their order are the engine's.

use aes::Aes128;
use cfb_mode::cipher::KeyIvInit;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use valehatch_config::snmp::{AUTH_KEY, PRIV_KEY};

/// Bytes of a digest in a message: usmHMAC192SHA256AuthProtocol (RFC 7860, section 4.2.2).
pub const DIGEST: usize = 24;
/// Bytes that a password is drawn out to before it is hashed (RFC 3414, section 2.6).
const STRETCHED: usize = 1_048_576;
/// The shortest password (RFC 3414, section 11.2).
pub const MIN_PASSWORD_LENGTH: usize = 8;

/// A password's key, localized to an engine (RFC 3414, section 2.6 and appendix A.2, with SHA-256). The first 16 bytes
/// are the key for AES-128.
#[must_use]
pub fn localize(password: &[u8], engine: &[u8]) -> [u8; AUTH_KEY] {
    let mut hash = Sha256::new();
    let mut drawn: Vec<u8> = password
        .iter()
        .copied()
        .cycle()
        .take(STRETCHED.min(password.len() * STRETCHED))
        .collect();
    hash.update(&drawn);
    drawn.clear();
    let key = hash.finalize();
    Sha256::new()
        .chain_update(key)
        .chain_update(engine)
        .chain_update(key)
        .finalize()
        .into()
}

/// The digest of a whole message whose digest field is all zero.
#[must_use]
pub fn digest(key: &[u8; AUTH_KEY], message: &[u8]) -> [u8; DIGEST] {
    let mut mac = mac(key);
    mac.update(message);
    let mut out = [0; DIGEST];
    out.copy_from_slice(&mac.finalize().into_bytes()[..DIGEST]);
    out
}

/// Whether a digest is that of a message, in time that does not depend on where they differ.
#[must_use]
pub fn authentic(key: &[u8; AUTH_KEY], message: &[u8], digest: &[u8]) -> bool {
    let mut mac = mac(key);
    mac.update(message);
    digest.len() == DIGEST && mac.verify_truncated_left(digest).is_ok()
}

fn mac(key: &[u8; AUTH_KEY]) -> Hmac<Sha256> {
    // A key of a block or less is padded: no length is refused.
    Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()))
}

/// RFC 3826, section 3.1.2.1: boots, time and salt.
fn vector(boots: u32, time: u32, salt: [u8; 8]) -> [u8; 16] {
    let mut iv = [0; 16];
    iv[..4].copy_from_slice(&boots.to_be_bytes());
    iv[4..8].copy_from_slice(&time.to_be_bytes());
    iv[8..].copy_from_slice(&salt);
    iv
}

/// Encrypts in place.
pub fn encrypt(key: &[u8; PRIV_KEY], (boots, time): (u32, u32), salt: [u8; 8], data: &mut [u8]) {
    let iv = vector(boots, time, salt);
    cfb_mode::Encryptor::<Aes128>::new(key.into(), &iv.into()).encrypt(data);
}

/// Decrypts in place.
pub fn decrypt(key: &[u8; PRIV_KEY], (boots, time): (u32, u32), salt: [u8; 8], data: &mut [u8]) {
    let iv = vector(boots, time, salt);
    cfb_mode::Decryptor::<Aes128>::new(key.into(), &iv.into()).decrypt(data);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_localized_and_differ_by_engine_and_password() {
        // Computed with another implementation (Python's hashlib) from the same definition.
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
    fn what_is_encrypted_comes_back_only_with_the_same_key_time_and_salt() {
        let (key, salt) = ([7; PRIV_KEY], [1; 8]);
        let mut data = b"a scoped PDU of no round length".to_vec();
        let plain = data.clone();
        encrypt(&key, (1, 2), salt, &mut data);
        assert_ne!(data, plain);
        let back = |boots, salt| {
            let mut data = data.clone();
            decrypt(&key, (boots, 2), salt, &mut data);
            data
        };
        assert_eq!(back(1, salt), plain);
        assert_ne!(back(2, salt), plain);
        assert_ne!(back(1, [2; 8]), plain);
    }

    #[test]
    fn a_digest_fits_its_message_and_key_only() {
        let key = [3; AUTH_KEY];
        let sum = digest(&key, b"message");
        assert!(authentic(&key, b"message", &sum));
        assert!(!authentic(&key, b"messagf", &sum) && !authentic(&[4; AUTH_KEY], b"message", &sum));
        assert!(!authentic(&key, b"message", &sum[..12]) && !authentic(&key, b"message", &[]));
    }
}
