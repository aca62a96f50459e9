package persister

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// Objects opens the object store.
func Objects(p validator.Platform) storer.Objects {
	o := &objects{
		bucket: p.Bucket,
		client: s3.New(s3.Options{
			BaseEndpoint:               aws.String(p.ObjectsURL),
			Region:                     p.Region,
			Credentials:                credentials.NewStaticCredentialsProvider(p.AccessKey, p.SecretKey, ""),
			UsePathStyle:               true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			Retryer:                    aws.NopRetryer{},
		}),
	}
	return storer.Objects{
		Put: o.put,
		Get: o.get,
	}
}

type objects struct {
	bucket string
	client *s3.Client
}

func (o *objects) put(ctx context.Context, name string, body []byte) error {
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(o.bucket),
		Key:    aws.String(name),
		Body:   bytes.NewReader(body),
	})
	if err != nil {
		return writeError("put object", err)
	}
	return nil
}

func (o *objects) get(ctx context.Context, name string) ([]byte, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(o.bucket),
		Key:    aws.String(name),
	})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, &storer.NotFoundError{Name: name}
	}
	if err != nil {
		return nil, readError("get object", err)
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, readError("get object", err)
	}
	return body, nil
}
