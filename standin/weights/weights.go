// Package weights is a stand-in for the deployment's weight store: every engine
// loads its models from it, and it serves at a limited rate.
//
// Transfers are served one after the other in the order in which they were
// asked for. When many engines load at once, as after a restart of a rack, the
// last of them waits for all the others; that is the stampede which a fleet
// must avoid by spreading its orders over time.
package weights

import (
	"net/http"
	"sync"
	"time"

	"endiveplank/standin/host"
)

// Path answers GET with Transfer once the weights have been transferred. The
// query names the model and the version; the store serves any.
const Path = "/weights"

// Transfer is the answer to GET Path.
type Transfer struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Totals is the answer to GET /stats.
type Totals struct {
	// Done and Waiting count transfers; PeakWaiting is the highest Waiting.
	Done        int `json:"done"`
	Waiting     int `json:"waiting"`
	PeakWaiting int `json:"peak_waiting"`
}

// Line is the order in which transfers are served. It is a pure model over a
// passed clock and not safe for concurrent use.
type Line struct {
	// Each is the time of one transfer.
	Each time.Duration
	free time.Duration
}

// Join returns when a transfer that is asked for now will be done.
func (l *Line) Join(now time.Duration) time.Duration {
	l.free = max(l.free, now) + l.Each
	return l.free
}

// Store is a weight store behind HTTP.
type Store struct {
	host  *host.Host
	epoch time.Time

	mu     sync.Mutex
	line   Line
	totals Totals
}

// Start serves a store on listen (host:port) whose transfers take each.
func Start(listen string, each time.Duration) (*Store, error) {
	s := &Store{epoch: time.Now(), line: Line{Each: each}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, s.transfer)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Totals())
	})
	h, err := host.Listen(listen, mux)
	if err != nil {
		return nil, err
	}
	s.host = h
	return s, nil
}

// Address returns the host:port that the store serves on.
func (s *Store) Address() string { return s.host.Address() }

// Close ends the store and its transfers.
func (s *Store) Close() { s.host.Drop() }

// Totals returns the counts so far.
func (s *Store) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// transfer serves Path. A transfer that its engine gives up keeps its place in
// the line, since the store has begun to read it.
func (s *Store) transfer(w http.ResponseWriter, r *http.Request) {
	done := s.join()
	defer s.leave()
	timer := time.NewTimer(done - time.Since(s.epoch))
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return
	case <-timer.C:
	}
	s.mu.Lock()
	s.totals.Done++
	s.mu.Unlock()
	query := r.URL.Query()
	host.WriteJSON(w, http.StatusOK, Transfer{Model: query.Get("model"), Version: query.Get("version")})
}

func (s *Store) join() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Waiting++
	s.totals.PeakWaiting = max(s.totals.PeakWaiting, s.totals.Waiting)
	return s.line.Join(time.Since(s.epoch))
}

func (s *Store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Waiting--
}
