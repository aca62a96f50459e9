// Package messenger carries the messages between nodes: membership messages over
// UDP and the twirp service for exchanges of state.
package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"io"
)

// MaxDatagram is the largest datagram in bytes. It fits the smallest MTU of IPv6
// with the headers of tunnels.
const MaxDatagram = 1200

// deriveKey makes a key for one purpose, so that a code of one transport is not
// valid on the other.
func deriveKey(membershipKey []byte, purpose string) []byte {
	mac := hmac.New(sha256.New, membershipKey)
	_, _ = io.WriteString(mac, purpose)
	return mac.Sum(nil)
}

// code returns the authentication code of a text made of parts.
func code(key []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		// The digest has a fixed length, so no two lists of parts give one text.
		digest := sha256.Sum256(part)
		_, _ = mac.Write(digest[:])
	}
	return mac.Sum(nil)
}
