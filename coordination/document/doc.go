// Package document replicates one versioned document: the routing table as
// operators sent it, byte for byte.
//
// The document with the highest version is in force. A put of a lower version is
// answered as overtaken and changes nothing. A put of the same version is answered
// as held if the content is the same, and as a conflict if it is not. So an operator
// who sends an accepted change again, because the answer was lost, learns that it
// was accepted.
//
// Operators send a hundred kilobytes for a change of a few hundred bytes, several
// times a second, over links of a few hundred kilobytes a second that also carry
// consensus. So the log and the messages to routers carry a Change, whose delta holds
// only the parts of the new document that the old one lacks.
//
// Machine is the replicated state machine that holds the document in force.
//
// Failure guarded against: a delta is applied to a document other than its base, and
// the processes of the fleet then hold different tables. Each Change contains the digests of its
// base and of its result, and both are compared.
package document
