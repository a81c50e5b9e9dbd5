package configuration

import (
	"bytes"
	"compress/flate"
	"io"
)

// maxDocumentBytes limits the result of Decompress, so that a small message cannot exhaust memory.
const maxDocumentBytes = 64 << 20

// Compress compresses a configuration document for transmission and storage.
func Compress(document []byte) []byte {
	var compressed bytes.Buffer
	writer, _ := flate.NewWriter(&compressed, flate.BestSpeed) // fails only for an invalid compression level
	_, _ = writer.Write(document)                              // writes to a bytes.Buffer do not fail
	_ = writer.Close()
	return compressed.Bytes()
}

// Decompress reverses Compress. The result is truncated to 64 MiB.
func Decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, maxDocumentBytes))
}
