package entry

import (
	"maps"
	"sync"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/quota"
)

// spentNews is what an instance that keeps limits has spent, for the others that do. It
// may take several datagrams.
type spentNews struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	// At is the sender's clock, and Echo the newest At of which it has all of the
	// receiver's.
	At   int64 `msgpack:"t"`
	Echo int64 `msgpack:"e"`
	// Part is the place among Parts.
	Part  int                 `msgpack:"p"`
	Parts int                 `msgpack:"k"`
	Spent []quota.Consumption `msgpack:"s"`
}

// spentBytes is what the spending of one account takes beside its name.
const spentBytes = 36

// makeSpent makes the news of what this instance has spent, without an echo.
func (p *parts) makeSpent(now time.Time) []spentNews {
	spent := pack(p.limits.Consumption(now), func(s quota.Consumption) int { return spentBytes + len(s.Account) })
	if len(spent) == 0 {
		spent = [][]quota.Consumption{nil}
	}

	news := make([]spentNews, 0, len(spent))

	for i, part := range spent {
		news = append(news, spentNews{
			Instance: p.self(), Incarnation: p.duties.incarnation, At: now.UnixNano(),
			Part: i, Parts: len(spent), Spent: part,
		})
	}

	return news
}

func withEcho(news []spentNews, echo int64) []spentNews {
	echoed := make([]spentNews, 0, len(news))

	for _, n := range news {
		n.Echo = echo
		echoed = append(echoed, n)
	}

	return echoed
}

// receiveSpentNews takes in what another instance has spent.
func (p *parts) receiveSpentNews(now time.Time, n spentNews) {
	if n.Instance == p.self() {
		return
	}

	p.limits.Receive(now, n.Instance, n.Incarnation, n.Spent)
	p.spentSeen.heard(n)

	if n.Echo != 0 {
		p.limits.Acknowledged(time.Unix(0, n.Echo), n.Instance)
	}
}

// spentSeen tells of which of the others' news all parts have come. The zero value knows
// none.
type spentSeen struct {
	mu sync.Mutex
	of map[fleet.InstanceID]seenNews
	at map[fleet.InstanceID]int64
}

type seenNews struct {
	at    int64
	parts map[int]bool
}

func (s *spentSeen) heard(n spentNews) {
	if n.Part < 0 || n.Part >= n.Parts {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.of == nil {
		s.of, s.at = make(map[fleet.InstanceID]seenNews), make(map[fleet.InstanceID]int64)
	}

	seen := s.of[n.Instance]
	if seen.parts == nil || seen.at != n.At {
		seen = seenNews{at: n.At, parts: make(map[int]bool)}
	}

	seen.parts[n.Part] = true
	s.of[n.Instance] = seen

	if len(seen.parts) == n.Parts {
		s.at[n.Instance] = n.At
	}
}

// echoes returns the newest time of each other instance of whose news all has come.
func (s *spentSeen) echoes() map[fleet.InstanceID]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return maps.Clone(s.at)
}
