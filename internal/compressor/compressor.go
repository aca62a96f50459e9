// Package compressor compresses documents with zstd, where possible as the difference from an
// earlier version.
package compressor

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID identifies the base within a frame. Senders state the version of the base
	// outside the frame.
	dictionaryID = 1
	// minWindow is the smallest window, in bytes.
	minWindow = 64 << 10
)

// Encode compresses a document. A base makes the result smaller by what both have in common;
// Decode needs the same base. An empty base means none.
func Encode(document, base []byte) ([]byte, error) {
	// The window spans both, so that each part of the base can be referred to.
	window := max(minWindow, 1<<bits.Len(uint(len(document)+len(base))))
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(min(window, zstd.MaxWindowSize)),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	encoded := e.EncodeAll(document, nil)
	return encoded, e.Close()
}

// Decode returns the document of a frame that Encode made with the same base. It fails if the
// document is larger than limit, in bytes, or its checksum does not match.
func Decode(encoded, base []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(limit)),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(encoded, nil)
}
