package upstreamapi

import "net/http"

// Answers of an engine to an order, for those who judge or imitate them.
const (
	// StatusTaken says that the engine has the order.
	StatusTaken = http.StatusAccepted
	// StatusConflict says that it has one with a newer number.
	StatusConflict = http.StatusConflict
	// StatusBad says that it can't carry the order out as it is written.
	StatusBad = http.StatusBadRequest
)

// IsConflict reports whether an answer is about an order's number.
func IsConflict(status int) bool { return status == StatusConflict }

// IsRefusal reports whether an answer refuses an order for good. A conflict does
// not: it is about the number, and the state read back tells whose order won. Nor
// does an overload, which passes.
func IsRefusal(status int) bool {
	if status == http.StatusNotImplemented {
		return true
	}
	isRequestError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return isRequestError && !IsConflict(status) && status != http.StatusTooManyRequests
}
