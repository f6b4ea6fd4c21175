// Package weights is a stand-in for the deployment's weight store, from which
// all engines load their models. Store serves it over HTTP at a limited rate;
// Queue computes when each transfer ends.
//
// The store serves one transfer at a time, in the order of the requests. When
// many engines load at once, for example after a rack has restarted, the last
// engine waits for all others. The fleet must avoid this thundering herd by
// spreading its load orders over time.
package weights

import (
	"net/http"
	"sync"
	"time"

	"endiveplank/standin/host"
)

// Path is where an engine gets weights: GET replies with a Transfer after the
// time of the transfer. The query names the model and the version; the store
// accepts any.
const Path = "/weights"

// Transfer is the reply to GET Path.
type Transfer struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Totals is the reply to GET /stats.
type Totals struct {
	// Done counts the transfers that ended, Waiting those that are queued or in
	// progress now. PeakWaiting is the highest Waiting so far.
	Done        int `json:"done"`
	Waiting     int `json:"waiting"`
	PeakWaiting int `json:"peak_waiting"`
}

// Queue schedules transfers one after the other. The caller passes the time, so
// it needs no clock. It is not safe for concurrent use.
type Queue struct {
	// TransferTime is how long one transfer takes.
	TransferTime time.Duration
	// freeAt is when the last transfer that was added ends.
	freeAt time.Duration
}

// Add queues a transfer that is requested now and returns when it will end.
func (q *Queue) Add(now time.Duration) time.Duration {
	q.freeAt = max(q.freeAt, now) + q.TransferTime
	return q.freeAt
}

// Store is a weight store that is served over HTTP.
type Store struct {
	host  *host.Host
	epoch time.Time

	mu     sync.Mutex
	queue  Queue
	totals Totals
}

// Start serves a store on listen (host:port). Each transfer takes transferTime.
func Start(listen string, transferTime time.Duration) (*Store, error) {
	s := &Store{epoch: time.Now(), queue: Queue{TransferTime: transferTime}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, s.serveTransfer)
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

// Close stops the store and aborts its transfers.
func (s *Store) Close() { s.host.Close() }

// Totals returns the counts so far.
func (s *Store) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// serveTransfer serves Path. A transfer whose engine disconnects still takes its
// time in the queue, since the store has started to read the weights.
func (s *Store) serveTransfer(w http.ResponseWriter, r *http.Request) {
	done := s.beginTransfer()
	defer s.endTransfer()
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

// beginTransfer queues a transfer and returns when it will end.
func (s *Store) beginTransfer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Waiting++
	s.totals.PeakWaiting = max(s.totals.PeakWaiting, s.totals.Waiting)
	return s.queue.Add(time.Since(s.epoch))
}

func (s *Store) endTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Waiting--
}
