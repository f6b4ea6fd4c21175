package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/rotisserie/eris"

	"endiveplank/transport/bounded"
)

// Transport is an http.RoundTripper over an http.Transport, and checks each answer. Errors are those of
// the http.Transport, and those that wrap ErrBrokenHead, bounded.ErrTooLong or, from the body, ErrReset.
type Transport struct{ transport *http.Transport }

// NewTransport returns a Transport over an http.Transport whose DialContext is set, and which it changes.
// It bounds the heads of answers to bounded.MaxHeadBytes.
func NewTransport(transport *http.Transport) *Transport {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	// The default is 10 MB.
	transport.MaxResponseHeaderBytes = bounded.MaxHeadBytes
	return &Transport{transport: transport}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := &interimHeads{left: bounded.MaxHeadBytes}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{Got1xxResponse: interim.accept})
	response, err := t.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// minHeadBytes is the size of a head without a field.
const minHeadBytes = len("HTTP/1.1 100\r\n\r\n")

// interimHeads checks and bounds the interim answers to a request. net/http doesn't bound them together
// if somebody looks at them.
type interimHeads struct{ left int }

// accept is called with each interim answer. It returns an error that wraps ErrBrokenHead or
// bounded.ErrTooLong.
func (h *interimHeads) accept(status int, header textproto.MIMEHeader) error {
	h.left -= minHeadBytes
	for name, values := range header {
		for _, value := range values {
			h.left -= len(name) + len(value)
		}
	}
	if h.left < 0 {
		return eris.Wrapf(bounded.ErrTooLong, "the interim answers have more than %d bytes", bounded.MaxHeadBytes)
	}
	return CheckInterimHead(status, header)
}

// NewClient returns an http.Client as http.DefaultClient is, over a Transport.
func NewClient() *http.Client {
	defaults, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		panic("strict: invariant broken: net/http's default transport is an http.Transport")
	}
	return &http.Client{Transport: NewTransport(defaults.Clone())}
}
