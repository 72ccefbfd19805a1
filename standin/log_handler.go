package standin

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/julienschmidt/httprouter"

	"monsoonlever/provider"
)

// LogFaultsPath is where the log takes a FaultOrder.
const LogFaultsPath = "/log/faults"

// Handler speaks the wire format of the log service.
func (l *Log) Handler() http.Handler {
	router := httprouter.New()
	l.routes(router)

	return router
}

func (l *Log) routes(router *httprouter.Router) {
	handle(router, http.MethodPost, provider.LogRecordsPath, l.serveAppend)
	handle(router, http.MethodGet, provider.LogRecordsPath, l.serveRead)
	handleFaults(router, LogFaultsPath, l.Faults)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
	if err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}

	stream := provider.Stream(r.URL.Query().Get(provider.LogStreamParam))

	offset, err := l.Append(r.Context(), stream, data)
	if err != nil {
		return err
	}

	return writeMessage(w, provider.AppendResponse{Offset: offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) error {
	query := r.URL.Query()

	from, err := strconv.ParseUint(query.Get(provider.LogFromParam), 10, 64)
	if err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}

	limit, err := strconv.Atoi(query.Get(provider.LogLimitParam))
	if err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}

	wait, err := time.ParseDuration(query.Get(provider.LogWaitParam))
	if err != nil {
		return merry.Wrap(errBadRequest, merry.WithCause(err))
	}

	stream := provider.Stream(query.Get(provider.LogStreamParam))

	batch, err := l.Read(r.Context(), stream, provider.Offset(from), limit, wait)
	if err != nil {
		return err
	}

	answer := provider.BatchResponse{First: batch.First, Next: batch.Next}
	for _, record := range batch.Records {
		answer.Records = append(answer.Records, provider.RecordResponse(record))
	}

	return writeMessage(w, answer)
}
