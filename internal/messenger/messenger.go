// Package messenger implements communication between nodes: membership messages over
// UDP and a twirp service for state exchange. Both are authenticated by a message
// authentication code (MAC).
package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"io"
)

// MaxDatagramBytes is the maximum size of a datagram. It fits the minimum MTU of IPv6 including
// tunnel headers.
const MaxDatagramBytes = 1200

// deriveKey derives a key for one purpose, so that a MAC of one transport is not valid on
// the other.
func deriveKey(membershipKey []byte, purpose string) []byte {
	mac := hmac.New(sha256.New, membershipKey)
	_, _ = io.WriteString(mac, purpose)
	return mac.Sum(nil)
}

// computeMAC returns the HMAC-SHA-256 over a list of parts.
func computeMAC(key []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		// Hashing each part to a fixed length keeps the boundaries between parts unambiguous.
		digest := sha256.Sum256(part)
		_, _ = mac.Write(digest[:])
	}
	return mac.Sum(nil)
}
