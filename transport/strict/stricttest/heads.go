package stricttest

// BrokenHeads are answers to the request with the id 7 whose heads aren't HTTP, by what is wrong.
func BrokenHeads() map[string]string {
	const ok, framed = "HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Id: 7\r\n", "Content-Length: 4\r\n\r\nfuel"
	return map[string]string{
		"status 000":                       "HTTP/1.1 000 None\r\nT-Signed: 1\r\nT-Id: 7\r\n" + framed,
		"status 099":                       "HTTP/1.1 099 None\r\nT-Signed: 1\r\nT-Id: 7\r\n" + framed,
		"status with a sign":               "HTTP/1.1 +99 None\r\nT-Signed: 1\r\nT-Id: 7\r\n" + framed,
		"status of a switch":               "HTTP/1.1 101 Switching Protocols\r\nT-Signed: 1\r\nT-Id: 7\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nfuel",
		"blank in a name":                  ok + "Odd Name: 1\r\n" + framed,
		"blank behind the name":            ok + "Odd : 1\r\n" + framed,
		"blank behind the length's name":   ok + "Content-Length : 4\r\n\r\nfuel and more",
		"blank behind the encoding's name": ok + "Transfer-Encoding : chunked\r\n\r\n4\r\nfuel\r\n0\r\n\r\n",
		"blank before the first name":      "HTTP/1.1 200 OK\r\n T-Signed: 1\r\nT-Id: 7\r\n" + framed,
		"blank in an interim head's name":  "HTTP/1.1 102 Processing\r\nOdd Name: 1\r\n\r\n" + ok + framed,
		"tab in a name":                    ok + "Odd\tName: 1\r\n" + framed,
		"zero byte in a name":              ok + "Odd\x00Name: 1\r\n" + framed,
		"control byte in a name":           ok + "Odd\x01Name: 1\r\n" + framed,
		"carriage return in a name":        ok + "Odd\rName: 1\r\n" + framed,
		"delete byte in a name":            ok + "Odd\x7fName: 1\r\n" + framed,
		"name without a byte":              ok + ": 1\r\n" + framed,
		"line without a name":              ok + "odd\r\n" + framed,
	}
}

// LegalHeads are unusual answers to the request with the id 7 that are HTTP, with the body "fuel".
func LegalHeads() map[string]string {
	const ok, framed = "HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Id: 7\r\n", "Content-Length: 4\r\n\r\nfuel"
	return map[string]string{
		"every byte of a name":      ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + framed,
		"value without a byte":      ok + "Odd:\r\n" + framed,
		"value with blanks":         ok + "Odd: \t a value: with \t blanks \t\r\n" + framed,
		"value beyond ASCII":        ok + "Odd: \xe9\r\n" + framed,
		"value on two lines":        ok + "Odd: one\r\n two\r\n" + framed,
		"lower case":                "HTTP/1.1 200 OK\r\nt-signed: 1\r\nt-id: 7\r\ncontent-length: 4\r\n\r\nfuel",
		"no reason":                 "HTTP/1.1 200\r\nT-Signed: 1\r\nT-Id: 7\r\n" + framed,
		"unknown success":           "HTTP/1.1 299 Odd\r\nT-Signed: 1\r\nT-Id: 7\r\n" + framed,
		"interim answers before it": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + framed,
		"neither length nor chunks": ok + "\r\nfuel",
		"chunks":                    ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nfuel\r\n0\r\n\r\n",
	}
}
