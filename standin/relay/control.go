package relay

import (
	"net/http"

	"endiveplank/standin/host"
)

// forgetRequest is the body of POST /forget.
type forgetRequest struct {
	Direction Direction `json:"direction"`
}

// Handler returns the HTTP handler that controls the relay: GET and POST /faults
// with Faults as JSON, POST /forget with a direction, and POST /cut.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, r.Faults())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, request *http.Request) {
		faults := r.Faults()
		if !host.ReadJSON(w, request, &faults) || !checkDirection(w, faults.Silent, "") {
			return
		}
		r.Set(faults)
		host.WriteJSON(w, http.StatusOK, faults)
	})
	mux.HandleFunc("POST /forget", func(w http.ResponseWriter, request *http.Request) {
		forget := forgetRequest{Direction: Both}
		if !host.ReadJSON(w, request, &forget) || !checkDirection(w, forget.Direction) {
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

// checkDirection returns true if the direction is Forward, Backward, Both or one of
// extra. Otherwise it replies with status 400.
func checkDirection(w http.ResponseWriter, direction Direction, extra ...Direction) bool {
	for _, allowed := range append(extra, Forward, Backward, Both) {
		if direction == allowed {
			return true
		}
	}
	host.WriteError(w, http.StatusBadRequest, "bad-direction", "the direction must be forward, backward or both")
	return false
}
