package tool

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"endiveplank/transport/admin"
)

// maxAnswer bounds an answer of the fleet in bytes.
const maxAnswer = 64 << 20

// call makes one call and decodes its answer into answer. body is nil for a
// GET. It returns the HTTP status of answers that carry a typed body besides
// success: conflict and invalid.
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, unreachable(method, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return 0, unreachable(method, err)
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

// unreachable tells a read, which changed nothing, from a change, whose
// outcome is open.
func unreachable(method string, err error) error {
	if method == http.MethodGet {
		return &Failure{Status: ExitUnreachable, What: "the router can't be reached: " + err.Error(), Next: "try another router's admin address"}
	}
	return &Failure{Status: ExitUnknown, What: "no answer came, and the change may have taken effect: " + err.Error(), Next: "send it again with the same --id; it is applied once"}
}

// decodeAnswer reads a typed answer or an error body.
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
		return errors.New("the router's answer isn't JSON; is this an admin address?")
	}
	exit := ExitRefused
	if status == http.StatusServiceUnavailable {
		exit = ExitUnknown
	}
	return &Failure{Status: exit, What: failed.Error, Next: failed.Next}
}
