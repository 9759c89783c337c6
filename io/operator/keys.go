package operator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"heatherford/core/code"
	"heatherford/core/settings"
	"heatherford/io/internal/refuse"
)

const (
	// HeaderOperator names the operator where the interface is open.
	HeaderOperator = "Heatherford-Operator"
	// openOperator is who confirms where the interface is open and the call
	// names nobody.
	openOperator = "anyone"
	// minKeyBytes is the shortest key that is taken.
	minKeyBytes = 16
	// maxNameBytes bounds an operator's name.
	maxNameBytes = 64
)

// keys decides who is an operator. It is safe for concurrent use.
type keys struct {
	settings settings.Operators
	log      log.Logger

	mu sync.Mutex
	// read is the state of the file when entries were read from it.
	read fileState
	// entries are the keys of the file as last read whole.
	entries []keyEntry
}

type keyEntry struct {
	name string
	hash [sha256.Size]byte
}

type fileState struct {
	size    int64
	changed time.Time
}

func newKeys(s settings.Operators, l log.Logger) *keys {
	return &keys{
		settings: s,
		log:      l,
	}
}

type operatorKey struct{}

// operatorName returns the name of the operator whose call ctx belongs to.
func operatorName(ctx context.Context) string {
	n, _ := ctx.Value(operatorKey{}).(string)
	return n
}

// require serves calls of operators only.
func (k *keys) require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, err := k.operator(r)
		if err != nil {
			refuse.Write(w, "", err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// operator returns the name of who makes the call.
func (k *keys) operator(r *http.Request) (string, error) {
	if k.settings.Open {
		n := r.Header.Get(HeaderOperator)
		switch {
		case n == "":
			return openOperator, nil
		case len(n) > maxNameBytes:
			return "", code.New(code.OperatorInput, "operator: the operator's name is longer than %d bytes", maxNameBytes)
		}
		return n, nil
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", code.New(code.OperatorDenied, "operator: the call has no key")
	}
	h := sha256.Sum256([]byte(key))
	name := ""
	found := 0
	// All entries are compared, so that the time tells nothing of the keys.
	for _, e := range k.current() {
		if same := subtle.ConstantTimeCompare(h[:], e.hash[:]); same == 1 {
			name = e.name
			found = 1
		}
	}
	if found == 0 {
		return "", code.New(code.OperatorDenied, "operator: the key is not one of an operator")
	}
	return name, nil
}

// current returns the keys of the file, which it reads again if it has changed.
// While the file cannot be read, the keys read before hold.
func (k *keys) current() []keyEntry {
	k.mu.Lock()
	defer k.mu.Unlock()
	i, err := os.Stat(k.settings.KeysFile)
	if err != nil {
		level.Error(k.log).Log("msg", "operator: cannot read the keys", "err", err)
		return k.entries
	}
	now := fileState{
		size:    i.Size(),
		changed: i.ModTime(),
	}
	if now == k.read {
		return k.entries
	}
	b, err := os.ReadFile(k.settings.KeysFile)
	if err != nil {
		level.Error(k.log).Log("msg", "operator: cannot read the keys", "err", err)
		return k.entries
	}
	entries, bad := parseKeys(b)
	for _, n := range bad {
		level.Error(k.log).Log("msg", "operator: a line of the keys is not valid", "line", n)
	}
	k.entries = entries
	k.read = now
	level.Info(k.log).Log("msg", "operator: keys read", "operators", len(entries))
	return k.entries
}

// parseKeys returns the entries of a file with a name and a key on each line, and
// the numbers of the lines that are not valid.
func parseKeys(b []byte) ([]keyEntry, []int) {
	entries := []keyEntry{}
	bad := []int{}
	s := bufio.NewScanner(bytes.NewReader(b))
	for n := 1; s.Scan(); n++ {
		line := strings.TrimSpace(s.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Fields(line)
		if len(f) != 2 || len(f[0]) > maxNameBytes || len(f[1]) < minKeyBytes {
			bad = append(bad, n)
			continue
		}
		entries = append(entries, keyEntry{
			name: f[0],
			hash: sha256.Sum256([]byte(f[1])),
		})
	}
	return entries, bad
}
