package simulator

import (
	"encoding/json"
	"net/http"
	"sort"
)

// Limits of the table service, the same as those of DynamoDB.
const (
	// maxPageBytes is the size of items at which a query ends its page.
	maxPageBytes = 1 << 20
	// maxItemBytes is the maximum size of an item.
	maxItemBytes = 400 << 10
	// maxTransactItems is the maximum number of writes in a transaction.
	maxTransactItems = 100
)

const contentJSON = "application/x-amz-json-1.0"

// attribute is a DynamoDB attribute value.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

// item is a row: attribute values by name.
type item map[string]attribute

// size returns the size of the names and values in bytes.
func (i item) size() int {
	n := 0
	for name, a := range i {
		n += len(name) + len(scalarText(a)) + len(a.B)
	}
	return n
}

// rowKey is the primary key of a row: partition key and sort key.
type rowKey struct {
	partition string
	sort      string
}

func (k rowKey) item() item {
	return item{
		"pk": attribute{S: &k.partition},
		"sk": attribute{S: &k.sort},
	}
}

type getRequest struct {
	Key item
}

type queryRequest struct {
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
}

// write is a Put or a Delete in a transaction. A Put has an Item, a Delete a Key.
type write struct {
	Key                       item
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

func (w *write) key() rowKey {
	if w.Item != nil {
		return rowKeyOf(w.Item)
	}
	return rowKeyOf(w.Key)
}

type transactItem struct {
	Put    *write
	Delete *write
}

func (t transactItem) write() *write {
	if t.Put != nil {
		return t.Put
	}
	return t.Delete
}

type transactRequest struct {
	TransactItems []transactItem
}

type cancellation struct {
	Code string
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Type                string         `json:"__type"`
	Message             string         `json:"message"`
	CancellationReasons []cancellation `json:"CancellationReasons,omitempty"`
}

// decodeAs decodes a request body and builds the operation from it.
func decodeAs[T any](body []byte, build func(in T) (operation, *response)) (operation, *response) {
	var in T
	if err := json.Unmarshal(body, &in); err != nil {
		return operation{}, errorResponse("SerializationException", err.Error(), nil)
	}
	return build(in)
}

func encode(status int, v any) response {
	body, err := json.Marshal(v)
	if err != nil {
		return response{status: http.StatusInternalServerError}
	}
	return response{
		status:      status,
		contentType: contentJSON,
		body:        body,
	}
}

// errorResponse returns an HTTP 400 with a DynamoDB error code.
func errorResponse(code, message string, reasons []cancellation) *response {
	resp := encode(http.StatusBadRequest, errorBody{
		Type:                "com.amazonaws.dynamodb.v20120810#" + code,
		Message:             message,
		CancellationReasons: reasons,
	})
	return &resp
}

func get(in getRequest) (operation, *response) {
	k := rowKeyOf(in.Key)
	return operation{
		partitions: []string{k.partition},
		apply: func(c *contents) response {
			out := map[string]item{}
			if found, ok := c.rows[k]; ok {
				out["Item"] = found
			}
			return encode(http.StatusOK, out)
		},
	}, nil
}

func query(in queryRequest) (operation, *response) {
	partition := scalarText(in.ExpressionAttributeValues[":p"])
	return operation{
		partitions: []string{partition},
		apply:      func(c *contents) response { return c.query(partition, in) },
	}, nil
}

// query returns one page of a partition in the order of the sort keys: at most in.Limit items,
// and none after maxPageBytes.
func (c *contents) query(partition string, in queryRequest) response {
	after := max(scalarText(in.ExpressionAttributeValues[":s"]), rowKeyOf(in.ExclusiveStartKey).sort)
	var keys []rowKey
	for k := range c.rows {
		if k.partition == partition && k.sort > after {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].sort < keys[j].sort })
	items, size := []item{}, 0
	for _, k := range keys {
		if size >= maxPageBytes || in.Limit > 0 && len(items) == in.Limit {
			break
		}
		items = append(items, c.rows[k])
		size += c.rows[k].size()
	}
	out := map[string]any{
		"Items": items,
		"Count": len(items),
	}
	if len(items) < len(keys) {
		out["LastEvaluatedKey"] = keys[len(items)-1].item()
	}
	return encode(http.StatusOK, out)
}

func transact(in transactRequest) (operation, *response) {
	op := operation{write: true}
	seen := map[rowKey]bool{}
	for _, t := range in.TransactItems {
		w := t.write()
		if w == nil || seen[w.key()] || w.Item.size() > maxItemBytes {
			return operation{}, errorResponse("ValidationException", "an item is not a Put or Delete, occurs twice or is too large", nil)
		}
		seen[w.key()] = true
		op.partitions = append(op.partitions, w.key().partition)
	}
	if len(seen) == 0 || len(seen) > maxTransactItems {
		return operation{}, errorResponse("ValidationException", "a transaction must have 1 to 100 items", nil)
	}
	op.apply = func(c *contents) response { return c.transact(in.TransactItems) }
	return op, nil
}

// transact applies all writes, or none if a condition is not met.
func (c *contents) transact(items []transactItem) response {
	reasons := make([]cancellation, len(items))
	var conflicts []string
	for i, t := range items {
		reasons[i].Code = "None"
		if w := t.write(); !c.conditionHolds(w) {
			reasons[i].Code = "ConditionalCheckFailed"
			conflicts = append(conflicts, w.key().partition)
		}
	}
	if len(conflicts) > 0 {
		resp := errorResponse("TransactionCanceledException", "a condition was not met", reasons)
		resp.conflicts = conflicts
		return *resp
	}
	for _, t := range items {
		if t.Put != nil {
			c.rows[t.Put.key()] = t.Put.Item
		} else {
			delete(c.rows, t.Delete.key())
		}
	}
	return encode(http.StatusOK, struct{}{})
}

// conditionHolds reports whether a write's condition is met. It supports the two forms that
// gentianlever sends; any other condition counts as not met.
func (c *contents) conditionHolds(w *write) bool {
	found, exists := c.rows[w.key()]
	switch w.ConditionExpression {
	case "":
		return true
	case "attribute_not_exists(pk)":
		return !exists
	case "ver = :v":
		return exists && scalarText(found["ver"]) == scalarText(w.ExpressionAttributeValues[":v"])
	default:
		return false
	}
}

// rowKeyOf returns the primary key among an item's attributes.
func rowKeyOf(i item) rowKey {
	return rowKey{
		partition: scalarText(i["pk"]),
		sort:      scalarText(i["sk"]),
	}
}

// scalarText returns the text of a string or number attribute, and "" for any other.
func scalarText(a attribute) string {
	switch {
	case a.S != nil:
		return *a.S
	case a.N != nil:
		return *a.N
	default:
		return ""
	}
}
