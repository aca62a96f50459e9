package persister

import (
	"context"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// Attribute names of a row in the table.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrVersion   = "ver"
	attrBody      = "body"
	attrExpires   = "expires"
)

// Table returns the table service with the configured table.
func (p *Persister) Table() storer.Table {
	t := &table{
		persister: p,
		name:      p.Platform.Table,
		client: dynamodb.New(dynamodb.Options{
			HTTPClient:   newClient(),
			BaseEndpoint: aws.String(p.Platform.TableURL),
			Region:       p.Platform.Region,
			Credentials:  credentials.NewStaticCredentialsProvider(p.Platform.AccessKey, p.Platform.SecretKey, ""),
			// A retry of a conditional write whose response was lost would fail its own
			// condition, so the client must not retry.
			Retryer: aws.NopRetryer{},
		}),
	}
	return storer.Table{
		Get:   t.get,
		Write: t.write,
		Query: t.query,
	}
}

// table implements storer.Table with DynamoDB.
type table struct {
	persister *Persister
	name      string
	client    *dynamodb.Client
}

func (t *table) get(ctx context.Context, k storer.Key) (storer.Row, bool, error) {
	var out *dynamodb.GetItemOutput
	err := t.persister.read(ctx, "get", func(ctx context.Context) (err error) {
		out, err = t.client.GetItem(ctx, &dynamodb.GetItemInput{
			TableName:      aws.String(t.name),
			Key:            encodeKey(k),
			ConsistentRead: aws.Bool(true),
		})
		return err
	})
	if err != nil || len(out.Item) == 0 {
		return storer.Row{}, false, err
	}
	return decodeRow(out.Item), true, nil
}

// query reads pages until it has limit rows or there are no more. The service limits a
// page to 1 MB, so a page may be short although more rows follow.
func (t *table) query(ctx context.Context, partition, after string, limit int) ([]storer.Row, error) {
	in := &dynamodb.QueryInput{
		TableName:              aws.String(t.name),
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String("pk = :p"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": &types.AttributeValueMemberS{Value: partition},
		},
	}
	if after != "" {
		in.KeyConditionExpression = aws.String("pk = :p AND sk > :s")
		in.ExpressionAttributeValues[":s"] = &types.AttributeValueMemberS{Value: after}
	}
	var rows []storer.Row
	for len(rows) < limit {
		in.Limit = aws.Int32(int32(limit - len(rows)))
		var out *dynamodb.QueryOutput
		err := t.persister.read(ctx, "query", func(ctx context.Context) (err error) {
			out, err = t.client.Query(ctx, in)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, item := range out.Items {
			rows = append(rows, decodeRow(item))
		}
		if len(out.LastEvaluatedKey) == 0 {
			break
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
	return rows, nil
}

func (t *table) write(ctx context.Context, writes []storer.Write) error {
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, w := range writes {
		items = append(items, t.transactItem(w))
	}
	return t.persister.write(ctx, "write", func(ctx context.Context) error {
		_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
			TransactItems: items,
		})
		return err
	})
}

func (t *table) transactItem(w storer.Write) types.TransactWriteItem {
	expression, values := encodeCondition(w)
	if w.Delete {
		return types.TransactWriteItem{
			Delete: &types.Delete{
				TableName:                 aws.String(t.name),
				Key:                       encodeKey(w.Row.Key),
				ConditionExpression:       expression,
				ExpressionAttributeValues: values,
			},
		}
	}
	return types.TransactWriteItem{
		Put: &types.Put{
			TableName:                 aws.String(t.name),
			Item:                      encodeRow(w.Row),
			ConditionExpression:       expression,
			ExpressionAttributeValues: values,
		},
	}
}

func encodeCondition(w storer.Write) (*string, map[string]types.AttributeValue) {
	switch w.Condition {
	case storer.Absent:
		return aws.String("attribute_not_exists(pk)"), nil
	case storer.VersionIs:
		return aws.String("ver = :v"), map[string]types.AttributeValue{
			":v": encodeNumber(w.IfVersion),
		}
	default:
		return nil, nil
	}
}

func encodeKey(k storer.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: &types.AttributeValueMemberS{Value: k.Partition},
		attrSort:      &types.AttributeValueMemberS{Value: k.Sort},
	}
}

func encodeNumber(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func encodeRow(r storer.Row) map[string]types.AttributeValue {
	m := encodeKey(r.Key)
	m[attrVersion] = encodeNumber(r.Version)
	m[attrBody] = &types.AttributeValueMemberB{Value: r.Body}
	if !r.Expires.IsZero() {
		m[attrExpires] = encodeNumber(uint64(r.Expires.Unix()))
	}
	return m
}

func decodeRow(m map[string]types.AttributeValue) storer.Row {
	r := storer.Row{
		Key: storer.Key{
			Partition: decodeString(m[attrPartition]),
			Sort:      decodeString(m[attrSort]),
		},
		Version: decodeNumber(m[attrVersion]),
	}
	if b, ok := m[attrBody].(*types.AttributeValueMemberB); ok {
		r.Body = b.Value
	}
	if seconds := decodeNumber(m[attrExpires]); seconds > 0 {
		r.Expires = time.Unix(int64(seconds), 0)
	}
	return r
}

func decodeString(v types.AttributeValue) string {
	if s, ok := v.(*types.AttributeValueMemberS); ok {
		return s.Value
	}
	return ""
}

func decodeNumber(v types.AttributeValue) uint64 {
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
