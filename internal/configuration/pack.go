package configuration

import (
	"bytes"
	"compress/flate"
	"io"
)

const maxDocumentBytes = 64 << 20

// Compress compresses a configuration for sending and keeping.
func Compress(document []byte) []byte {
	var packed bytes.Buffer
	writer, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = writer.Write(document)
	_ = writer.Close()
	return packed.Bytes()
}

// Decompress undoes Compress. Results are cut at 64 MiB.
func Decompress(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, maxDocumentBytes))
}
