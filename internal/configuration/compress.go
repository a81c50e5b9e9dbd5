package configuration

import (
	"bytes"
	"compress/flate"
	"io"
)

// maxDocumentBytes limits what Decompress returns, so that a small message cannot fill the memory.
const maxDocumentBytes = 64 << 20

// Compress compresses a configuration's document for sending and storing.
func Compress(document []byte) []byte {
	var compressed bytes.Buffer
	writer, _ := flate.NewWriter(&compressed, flate.BestSpeed) // fails only for an invalid level
	_, _ = writer.Write(document)                              // a bytes.Buffer does not fail
	_ = writer.Close()
	return compressed.Bytes()
}

// Decompress undoes Compress. The result is truncated at 64 MiB.
func Decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, maxDocumentBytes))
}
