package host

import (
	"encoding/json"
	"net/http"

	"endiveplank/protocol/chat"
)

// MaxBody is the largest request body that a stand-in reads, in bytes.
const MaxBody = 8 << 20

// WriteJSON replies with one JSON document.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError replies with an error body in the format that clients of the chat
// API expect.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	detail := chat.ErrorDetail{Message: message, Type: errorType(status), Code: code}
	WriteJSON(w, status, chat.ErrorBody{Error: detail})
}

// ReadJSON decodes the request body into target. Fields that are not in the body
// keep their value in target. If the body can't be decoded, ReadJSON replies with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(target)
	if err != nil {
		WriteError(w, http.StatusBadRequest, "bad-json", err.Error())
		return false
	}
	return true
}

// errorType returns the error type that the chat API uses for a status.
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
