package upstreamapi

import "net/http"

// HTTP statuses with which an engine answers an order.
const (
	// StatusAccepted means that the engine has accepted the order.
	StatusAccepted = http.StatusAccepted
	// StatusConflict means that the engine has an order with a newer fencing
	// number.
	StatusConflict = http.StatusConflict
	// StatusInvalid means that the engine can't carry out the order as written.
	StatusInvalid = http.StatusBadRequest
)

// IsConflict reports whether an answer refuses an order because of its fencing
// number.
func IsConflict(status int) bool { return status == StatusConflict }

// IsRefusal reports whether an answer refuses an order permanently. A conflict
// does not: it is about the fencing number, and reading the engine's state shows
// which order won. An overload does not either, because it is temporary.
func IsRefusal(status int) bool {
	if status == http.StatusNotImplemented {
		return true
	}
	isRequestError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return isRequestError && !IsConflict(status) && status != http.StatusTooManyRequests
}
