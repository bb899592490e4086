package feed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "cuminshift/internal/gen/cuminshift/v1"
	"cuminshift/internal/routing"
)

// maxConfigurationBytes bounds a decompressed configuration.
const maxConfigurationBytes = 4 << 20

// Compress returns a complete configuration in a compressed form.
func Compress(c *routing.Configuration) ([]byte, error) {
	message, err := proto.Marshal(EncodeConfiguration(c, nil))
	if err != nil {
		return nil, errors.Wrap(err, "feed: encode configuration")
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err = w.Write(message)
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		return nil, errors.Wrap(err, "feed: compress configuration")
	}
	return compressed.Bytes(), nil
}

// Decompress returns a configuration from its compressed form.
func Decompress(data []byte) (*routing.Configuration, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "feed: decompress configuration")
	}
	message, err := io.ReadAll(io.LimitReader(r, maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "feed: decompress configuration")
	}
	if len(message) > maxConfigurationBytes {
		return nil, errors.Newf("feed: decompressed configuration exceeds %d bytes", maxConfigurationBytes)
	}
	m := &pb.FeedConfiguration{}
	if err := proto.Unmarshal(message, m); err != nil {
		return nil, errors.Wrap(err, "feed: decode configuration")
	}
	return DecodeConfiguration(m, nil)
}
