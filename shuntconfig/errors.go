package shuntconfig

import (
	"fmt"
	"strings"
)

const (
	maxNameBytes     = 100
	maxShownValue    = 60
	maxAddressBytes  = 255
	namePunctuation  = "-_."
	shownValueSuffix = "..."
)

// FieldError says which value of which field in which document or file is
// wrong, and why.
type FieldError struct {
	Key     Key
	Field   string
	Value   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	v := e.Value
	if len(v) > maxShownValue {
		v = v[:maxShownValue] + shownValueSuffix
	}
	return fmt.Sprintf("%s: %s: %q %s", e.Key, e.Field, v, e.Problem)
}

func checkName(k Key, field, name string) error {
	if name == "" {
		return &FieldError{k, field, name, "is empty"}
	}
	if len(name) > maxNameBytes {
		return &FieldError{k, field, name, fmt.Sprintf("is longer than %d bytes", maxNameBytes)}
	}
	for _, r := range name {
		if !isNameRune(r) {
			return &FieldError{k, field, name, "has a character outside letters, digits, '-', '_' and '.'"}
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return strings.ContainsRune(namePunctuation, r)
}

func checkRange(k Key, field string, v, lo, hi int64) error {
	if v < lo || v > hi {
		return &FieldError{k, field, fmt.Sprint(v), fmt.Sprintf("is not between %d and %d", lo, hi)}
	}
	return nil
}

func checkFraction(k Key, field string, v, lo, hi float64) error {
	if !(v >= lo && v <= hi) {
		return &FieldError{k, field, fmt.Sprint(v), fmt.Sprintf("is not between %g and %g", lo, hi)}
	}
	return nil
}
