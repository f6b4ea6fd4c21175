package host

import (
	"encoding/json"
	"net/http"

	"endiveplank/protocol/chat"
)

// MaxBody bounds the request bodies that a stand-in reads, in bytes.
const MaxBody = 8 << 20

// WriteJSON answers with one JSON document.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError answers with an error body in the shape that chat API clients
// expect.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	detail := chat.ErrorDetail{Message: message, Type: errorType(status), Code: code}
	WriteJSON(w, status, chat.ErrorBody{Error: detail})
}

// ReadJSON decodes the request body into target. Fields that the body leaves
// out keep the value they have in target. It answers 400 itself and returns
// false when the body is no JSON.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(target)
	if err != nil {
		WriteError(w, http.StatusBadRequest, "bad-json", err.Error())
		return false
	}
	return true
}

// errorType groups a status as chat API clients do.
func errorType(status int) string {
	switch {
	case status == http.StatusServiceUnavailable:
		return "overloaded_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
