package carry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"heatherford/core/code"
	"heatherford/io/internal/paced"
)

// silence is the longest time without progress on a caller's or peer's
// connection.
const silence = 5 * time.Second

// readBody reads a body of at most limit bytes that keeps coming: no pause is
// longer than silence.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, silence time.Duration) ([]byte, error) {
	c := http.NewResponseController(w)
	b, err := io.ReadAll(&paced.Reader{
		Reader:     http.MaxBytesReader(w, r.Body, limit),
		Controller: c,
		Pause:      silence,
	})
	// The server goes on reading to learn that the caller has left. A writer
	// without deadlines belongs to a test.
	_ = c.SetReadDeadline(time.Time{})
	if m := (*http.MaxBytesError)(nil); errors.As(err, &m) {
		return nil, code.Wrap(code.BodyTooLarge, err, "carry: the body")
	}
	if err != nil {
		return nil, code.Wrap(code.RequestInvalid, err, "carry: the body broke off")
	}
	return b, nil
}
