// Package document replicates one versioned document, the routing table as
// operators sent it, byte for byte.
//
// The highest version is in force. A put of a version below it is answered as
// overtaken and changes nothing; one of the same version is answered as held
// when the content is the same and as a conflict when it is not, so that an
// operator who sends an accepted change again, because the answer was lost,
// hears that it was accepted.
//
// Operators send a hundred kilobytes for a change of a few hundred bytes, and
// several a second, over links of a few hundred kilobytes a second that also
// carry consensus. So what is logged and pushed is a Delta: the parts of the
// new document that the old one lacks.
//
// Failure guarded: a delta is applied to another document than it was made
// from, and the members hold different tables. Each change names the digest of
// its base and of its result, and both are compared.
package document
