package relay

import (
	"net/http"

	"endiveplank/standin/host"
)

// forgetRequest is the body of POST /forget.
type forgetRequest struct {
	Direction Direction `json:"direction"`
}

// Handler steers the relay over HTTP: GET and POST /faults with Faults as
// JSON, POST /forget with a direction, and POST /cut.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, r.Faults())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, request *http.Request) {
		faults := r.Faults()
		if !host.ReadJSON(w, request, &faults) || !known(w, faults.Silent, "") {
			return
		}
		r.Set(faults)
		host.WriteJSON(w, http.StatusOK, faults)
	})
	mux.HandleFunc("POST /forget", func(w http.ResponseWriter, request *http.Request) {
		forget := forgetRequest{Direction: Both}
		if !host.ReadJSON(w, request, &forget) || !known(w, forget.Direction) {
			return
		}
		r.Forget(forget.Direction)
		host.WriteJSON(w, http.StatusOK, forget)
	})
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, _ *http.Request) {
		r.Cut()
		host.WriteJSON(w, http.StatusOK, struct{}{})
	})
	return mux
}

// known answers 400 and returns false unless the direction is one that the
// relay knows or one of those allowed besides.
func known(w http.ResponseWriter, direction Direction, besides ...Direction) bool {
	for _, allowed := range append(besides, Forward, Backward, Both) {
		if direction == allowed {
			return true
		}
	}
	host.WriteError(w, http.StatusBadRequest, "bad-direction", "the direction must be forward, backward or both")
	return false
}
