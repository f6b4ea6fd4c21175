package tool

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"endiveplank/transport/admin"
	"endiveplank/transport/strict"
)

// httpClient makes all calls.
var httpClient = strict.NewClient()

// maxResponseBytes is the most that is read of a response body.
const maxResponseBytes = 64 << 20

// call sends one request to the admin address and decodes the response into
// answer. body is nil for a GET. Without an error, the returned HTTP status is
// 200, or 409 (conflict) or 422 (invalid) with an answer that says why nothing
// was changed.
func (o *options) call(ctx context.Context, method, path string, body, answer any) (int, error) {
	if o.admin == "" {
		return 0, &Failure{Status: ExitUsage, What: "no admin address", Next: "set --admin, " + envAdmin + " or a profile"}
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	request, err := o.request(ctx, method, path, body)
	if err != nil {
		return 0, &Failure{Status: ExitUsage, What: err.Error()}
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, noResponse(method, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, noResponse(method, err)
	}
	return response.StatusCode, decodeAnswer(response.StatusCode, raw, answer)
}

func (o *options) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.admin+path, reader)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+o.key)
	return request, nil
}

// noResponse returns the failure of a call that got no response. A read changed
// nothing; the outcome of a change is unknown.
func noResponse(method string, err error) error {
	if method == http.MethodGet {
		return &Failure{Status: ExitUnreachable, What: "the router is unreachable: " + err.Error(), Next: "try another router's admin address"}
	}
	return &Failure{Status: ExitUnknown, What: "no response came, and the change may have taken effect: " + err.Error(), Next: "send it again with the same --id; it is applied once"}
}

// decodeAnswer decodes a response into answer, or returns the failure that its
// error body describes. The outcome of a change is unknown after status 503.
func decodeAnswer(status int, raw []byte, answer any) error {
	typed := status == http.StatusOK || status == http.StatusConflict || status == http.StatusUnprocessableEntity
	if typed {
		var failed admin.ErrorBody
		if status != http.StatusOK && json.Unmarshal(raw, &failed) == nil && failed.Error != "" {
			return &Failure{Status: ExitConflict, What: failed.Error, Next: failed.Next}
		}
		return json.Unmarshal(raw, answer)
	}
	var failed admin.ErrorBody
	if err := json.Unmarshal(raw, &failed); err != nil {
		return fmt.Errorf("the response (HTTP status %d) isn't JSON; is this an admin address?", status)
	}
	exit := ExitRefused
	if status == http.StatusServiceUnavailable {
		exit = ExitUnknown
	}
	return &Failure{Status: exit, What: failed.Error, Next: failed.Next}
}
