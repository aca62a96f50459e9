// Package persister is the adapter from the storer port to a table service with
// DynamoDB's API and an object store with S3's API.
package persister

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"

	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// Attribute names of a row in the table.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrVersion   = "ver"
	attrBody      = "body"
	attrExpires   = "expires"
)

// Table opens the table service.
func Table(p validator.Platform) storer.Table {
	t := &table{
		name: p.Table,
		client: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(p.TableURL),
			Region:       p.Region,
			Credentials:  credentials.NewStaticCredentialsProvider(p.AccessKey, p.SecretKey, ""),
			// A second send of a conditional write whose first answer was lost would
			// fail its own condition, so the client must not retry.
			Retryer: aws.NopRetryer{},
		}),
	}
	return storer.Table{
		Get:   t.get,
		Write: t.write,
		Query: t.query,
	}
}

type table struct {
	name   string
	client *dynamodb.Client
}

func (t *table) get(ctx context.Context, k storer.Key) (storer.Row, bool, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.name),
		Key:            key(k),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return storer.Row{}, false, readError("get", err)
	}
	if len(out.Item) == 0 {
		return storer.Row{}, false, nil
	}
	return row(out.Item), true, nil
}

func (t *table) query(ctx context.Context, partition, after string, limit int) ([]storer.Row, error) {
	in := &dynamodb.QueryInput{
		TableName:              aws.String(t.name),
		ConsistentRead:         aws.Bool(true),
		Limit:                  aws.Int32(int32(limit)),
		KeyConditionExpression: aws.String("pk = :p"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": &types.AttributeValueMemberS{Value: partition},
		},
	}
	if after != "" {
		in.KeyConditionExpression = aws.String("pk = :p AND sk > :s")
		in.ExpressionAttributeValues[":s"] = &types.AttributeValueMemberS{Value: after}
	}
	out, err := t.client.Query(ctx, in)
	if err != nil {
		return nil, readError("query", err)
	}
	rows := make([]storer.Row, 0, len(out.Items))
	for _, item := range out.Items {
		rows = append(rows, row(item))
	}
	return rows, nil
}

func (t *table) write(ctx context.Context, writes []storer.Write) error {
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, w := range writes {
		items = append(items, t.item(w))
	}
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		TransactItems: items,
	})
	if err != nil {
		return writeError("write", err)
	}
	return nil
}

func (t *table) item(w storer.Write) types.TransactWriteItem {
	expression, values := condition(w)
	if w.Delete {
		return types.TransactWriteItem{
			Delete: &types.Delete{
				TableName:                 aws.String(t.name),
				Key:                       key(w.Row.Key),
				ConditionExpression:       expression,
				ExpressionAttributeValues: values,
			},
		}
	}
	return types.TransactWriteItem{
		Put: &types.Put{
			TableName:                 aws.String(t.name),
			Item:                      item(w.Row),
			ConditionExpression:       expression,
			ExpressionAttributeValues: values,
		},
	}
}

func condition(w storer.Write) (*string, map[string]types.AttributeValue) {
	switch w.Condition {
	case storer.Absent:
		return aws.String("attribute_not_exists(pk)"), nil
	case storer.VersionIs:
		return aws.String("ver = :v"), map[string]types.AttributeValue{
			":v": number(w.IfVersion),
		}
	default:
		return nil, nil
	}
}

func key(k storer.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: &types.AttributeValueMemberS{Value: k.Partition},
		attrSort:      &types.AttributeValueMemberS{Value: k.Sort},
	}
}

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func item(r storer.Row) map[string]types.AttributeValue {
	m := key(r.Key)
	m[attrVersion] = number(r.Version)
	m[attrBody] = &types.AttributeValueMemberB{Value: r.Body}
	if !r.Expires.IsZero() {
		m[attrExpires] = number(uint64(r.Expires.Unix()))
	}
	return m
}

func row(m map[string]types.AttributeValue) storer.Row {
	r := storer.Row{
		Key: storer.Key{
			Partition: text(m[attrPartition]),
			Sort:      text(m[attrSort]),
		},
		Version: integer(m[attrVersion]),
	}
	if b, ok := m[attrBody].(*types.AttributeValueMemberB); ok {
		r.Body = b.Value
	}
	if seconds := integer(m[attrExpires]); seconds > 0 {
		r.Expires = time.Unix(int64(seconds), 0)
	}
	return r
}

func text(v types.AttributeValue) string {
	if s, ok := v.(*types.AttributeValueMemberS); ok {
		return s.Value
	}
	return ""
}

func integer(v types.AttributeValue) uint64 {
	n, ok := v.(*types.AttributeValueMemberN)
	if !ok {
		return 0
	}
	u, err := strconv.ParseUint(n.Value, 10, 64)
	if err != nil {
		return 0
	}
	return u
}

func readError(operation string, err error) error {
	return &storer.UnavailableError{
		Operation: operation,
		Cause:     err,
	}
}

// writeError sorts the errors of a write by whether it may have taken effect.
func writeError(operation string, err error) error {
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		for i, reason := range cancelled.CancellationReasons {
			if aws.ToString(reason.Code) == "ConditionalCheckFailed" {
				return &storer.ConditionError{Index: i}
			}
		}
		return readError(operation, err)
	}
	var api smithy.APIError
	if errors.As(err, &api) && api.ErrorFault() == smithy.FaultClient {
		return readError(operation, err)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return readError(operation, err)
	}
	return &storer.UnknownError{
		Operation: operation,
		Cause:     err,
	}
}
