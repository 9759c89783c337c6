package refuse

import (
	"encoding/json"
	"net/http"
	"strconv"

	"heatherford/core/code"
	"heatherford/core/work"
)

// Body is the body of every answer that heatherford gives by itself.
type Body struct {
	Code    code.Code    `json:"code"`
	Outcome code.Outcome `json:"outcome,omitempty"`
	Message string       `json:"message"`
	// RequestID is empty if the error concerns no request for work.
	RequestID string `json:"request_id,omitempty"`
}

// retryAfter is how many seconds a caller should wait whose rank has used its
// share.
const retryAfter = "1"

// Write answers with err, whose code gives the status.
func Write(w http.ResponseWriter, requestID string, err error) {
	c := code.Of(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if c == code.RankFull || c == code.CapReached {
		h.Set("Retry-After", retryAfter)
	}
	h.Set(work.HeaderCode, strconv.Itoa(int(c)))
	if c.Outcome() != code.NoRequest {
		h.Set(work.HeaderOutcome, string(c.Outcome()))
	}
	w.WriteHeader(c.Status())
	json.NewEncoder(w).Encode(Body{
		Code:      c,
		Outcome:   c.Outcome(),
		Message:   code.Text(err),
		RequestID: requestID,
	})
}
