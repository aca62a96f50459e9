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
)

// Objects returns the object store of the configured bucket.
func (p *Persister) Objects() storer.Objects {
	o := &objects{
		persister: p,
		bucket:    p.Platform.Bucket,
		client: s3.New(s3.Options{
			HTTPClient:                 newClient(),
			BaseEndpoint:               aws.String(p.Platform.ObjectsURL),
			Region:                     p.Platform.Region,
			Credentials:                credentials.NewStaticCredentialsProvider(p.Platform.AccessKey, p.Platform.SecretKey, ""),
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

// objects implements storer.Objects with S3.
type objects struct {
	persister *Persister
	bucket    string
	client    *s3.Client
}

func (o *objects) put(ctx context.Context, name string, body []byte) error {
	return o.persister.write(ctx, "put object", func(ctx context.Context) error {
		_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String(o.bucket),
			Key:    aws.String(name),
			Body:   bytes.NewReader(body),
		})
		return err
	})
}

func (o *objects) get(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	missing := false
	err := o.persister.read(ctx, "get object", func(ctx context.Context) error {
		out, err := o.client.GetObject(ctx, &s3.GetObjectInput{
			Bucket: aws.String(o.bucket),
			Key:    aws.String(name),
		})
		var none *types.NoSuchKey
		if missing = errors.As(err, &none); missing {
			return nil
		}
		if err != nil {
			return err
		}
		defer func() { _ = out.Body.Close() }()
		body, err = io.ReadAll(out.Body)
		return err
	})
	if err == nil && missing {
		err = &storer.NotFoundError{Name: name}
	}
	return body, err
}
