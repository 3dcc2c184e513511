package shuntconfig

import "strings"

// MaxDocumentBytes is the maximum size of a published document, in bytes.
const MaxDocumentBytes = 1 << 20

// Kind is the kind of a published document: the part of its key before the slash.
type Kind string

// The kinds of documents that operators publish.
const (
	KindFleet     Kind = "Fleet"
	KindTemplate  Kind = "Template"
	KindWorkspace Kind = "Workspace"
	KindService   Kind = "Service"
)

// FleetKey is the key of the only Fleet document.
const FleetKey Key = "Fleet"

// Key names a published document: "Fleet", "Template/<name>",
// "Workspace/<name>" or "Service/<name>".
type Key string

// MakeKey returns the key of the document of kind k with the given name.
func MakeKey(k Kind, name string) Key {
	return Key(string(k) + "/" + name)
}

// Split returns the kind and the name in k. The name is empty for the Fleet
// document.
func (k Key) Split() (Kind, string) {
	kind, name, _ := strings.Cut(string(k), "/")
	return Kind(kind), name
}

// Check returns a FieldError if k is not a valid key of a document.
func (k Key) Check() error {
	kind, name := k.Split()
	switch kind {
	case KindFleet:
		if k == FleetKey {
			return nil
		}
	case KindTemplate, KindWorkspace, KindService:
		return checkName(k, "Key", name)
	}
	return &FieldError{Key: k, Field: "Key", Value: string(k), Problem: "is not Fleet, Template/<name>, Workspace/<name> or Service/<name>"}
}

// Document is one published document as received from the platform.
type Document struct {
	Key Key
	// Version increases with each publication of the key.
	Version int64
	// Deleted is set if operators deleted the key; Body is empty then.
	Deleted bool
	Body    []byte
}
