package strict

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrBrokenHead means that the head of an answer isn't HTTP.
var ErrBrokenHead = eris.New("the head of the answer isn't HTTP")

// CheckHead checks what net/http lets pass in the head of an answer (RFC 9112, sections 4 and 5). It
// returns an error that wraps ErrBrokenHead, or nil.
func CheckHead(response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return eris.Wrapf(ErrBrokenHead, "%q is no status of an answer", response.Status)
	}
	return checkNames(textproto.MIMEHeader(response.Header))
}

// CheckInterimHead checks the head of an interim answer (1xx) as CheckHead does.
func CheckInterimHead(status int, header textproto.MIMEHeader) error {
	if status == http.StatusSwitchingProtocols {
		return eris.Wrap(ErrBrokenHead, "the server switches to a protocol that it wasn't asked for")
	}
	return checkNames(header)
}

// checkNames checks that the name of each field is a token. net/http accepts blanks: the field then
// has no effect, also if it is meant for the length of the body.
func checkNames(header textproto.MIMEHeader) error {
	for name := range header {
		if !isToken(name) {
			return eris.Wrapf(ErrBrokenHead, "%q is no name of a field", name)
		}
	}
	return nil
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	return text != "" && strings.IndexFunc(text, func(r rune) bool { return !isTokenRune(r) }) < 0
}

func isTokenRune(r rune) bool {
	switch {
	case '0' <= r && r <= '9', 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z':
		return true
	}
	return strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
