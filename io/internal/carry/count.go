package carry

import (
	"net/http"

	"heatherford/core"
	"heatherford/core/work"
)

// count counts a request that was refused while it was read, if its kind is
// known from the newest declaration that this host has.
func count(k *core.Kernel, q *work.Request, r *http.Request, err error) {
	v := k.Snapshot().Version
	if v == nil {
		return
	}
	name, _ := splitPath(r)
	kind, ok := v.Declaration.Kind(name)
	if !ok {
		return
	}
	q.Kind = kind
	q.KindRank = v.Declaration.RankIndex(kind.Rank)
	q.Target = v.Declaration.Ranks[q.KindRank].Target
	k.Dispatcher.RecordRefused(q, err)
}
