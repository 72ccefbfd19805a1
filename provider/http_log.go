package provider

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/httpclient"
)

// The wire format of the log service. An append posts the record's bytes and returns an
// AppendResponse. A read returns a BatchResponse.
const (
	LogRecordsPath = "/log/records"
	LogStreamParam = "stream"
	LogFromParam   = "from"
	LogLimitParam  = "limit"
	LogWaitParam   = "wait"
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset Offset `json:"offset"`
}

// RecordResponse is one record of a BatchResponse.
type RecordResponse struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// BatchResponse is the response to a read.
type BatchResponse struct {
	Records []RecordResponse `json:"records"`
	First   Offset           `json:"first"`
	Next    Offset           `json:"next"`
}

// HTTPLog is a client of the log service.
type HTTPLog struct {
	client *httpclient.Client
}

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a client of the log service at a base URL.
func NewHTTPLog(baseURL string, c *http.Client) *HTTPLog {
	return &HTTPLog{client: httpclient.New(baseURL, c)}
}

// Append appends one record. The error wraps ErrRefused if the log service states that the
// append had no effect, or if the request was not sent.
func (l *HTTPLog) Append(ctx context.Context, stream Stream, data []byte) (Offset, error) {
	var response AppendResponse

	path := LogRecordsPath + "?" + url.Values{LogStreamParam: {string(stream)}}.Encode()

	err := l.client.PostBytes(ctx, path, data, &response)
	if err == nil {
		return response.Offset, nil
	}

	if errors.Is(err, httpclient.ErrNotSent) || hadNoEffect(err, http.StatusServiceUnavailable) {
		return 0, merry.Prepend(ErrRefused, "append to "+string(stream), merry.WithCause(err))
	}

	return 0, merry.Prepend(err, "append to "+string(stream))
}

// Read returns up to limit records, starting at offset from. Log documents the wait.
func (l *HTTPLog) Read(
	ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration,
) (Batch, error) {
	query := url.Values{
		LogStreamParam: {string(stream)},
		LogFromParam:   {strconv.FormatUint(uint64(from), 10)},
		LogLimitParam:  {strconv.Itoa(limit)},
		LogWaitParam:   {wait.String()},
	}

	var response BatchResponse
	if err := l.client.Get(ctx, LogRecordsPath+"?"+query.Encode(), &response); err != nil {
		return Batch{}, merry.Prepend(err, "read "+string(stream))
	}

	batch := Batch{First: response.First, Next: response.Next}
	batch.Records = make([]Record, 0, len(response.Records))

	for _, r := range response.Records {
		batch.Records = append(batch.Records, Record(r))
	}

	return batch, nil
}
