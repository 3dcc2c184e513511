package shuntconfig

import (
	"fmt"
)

const (
	minPeerKeyBytes = 16
	settingsKey     = "Settings"
)

// Settings is the content of a daemon's settings file. DaemonSettingDocs
// describes the fields.
type Settings struct {
	Name            string
	Zone            string
	Cell            string
	CallerListen    string
	PeerListen      string
	OperatorListen  string
	PlatformAddress string
	// PeerAddresses are the peer addresses of other VMs, from which the daemon
	// can fetch the configuration when it starts.
	PeerAddresses []string
	// PeerKey is a secret shared by all VMs. It must not appear in logs.
	PeerKey string
}

// DaemonSettingDocs describes the settings in the daemon's settings file.
func DaemonSettingDocs() []SettingDoc {
	return []SettingDoc{
		{"Name", "String", "", "none, required", "The VM's name in the Fleet document.", "0.1"},
		{"Zone", "String", "", "none, required", "The availability zone the VM stands in.", "0.1"},
		{"Cell", "String", "", "none, required", "The group of VMs that grant each other leases.", "0.1"},
		{"CallerListen", "String", "host:port", "none, required", "Where callers connect.", "0.1"},
		{"PeerListen", "String", "host:port", "none, required", "Where other VMs connect.", "0.1"},
		{"OperatorListen", "String", "host:port", "none, required", "Where operators and metric collectors connect.", "0.1"},
		{"PlatformAddress", "String", "host:port", "none, required", "The platform's configuration service.", "0.1"},
		{"PeerAddresses", "StringList", "host:port", "empty", "Peer listeners of other VMs. A VM that starts while the platform is down has its configuration from them.", "0.1"},
		{"PeerKey", "String", "", "none, required", "The secret that VMs prove to each other, 16 bytes or more. It is never logged or shown.", "0.1"},
	}
}

// DecodeSettings decodes and validates the content of a settings file. file is
// its name in errors, which is "Settings" if file is empty.
func DecodeSettings(file string, body []byte) (Settings, error) {
	var w struct {
		Name, Zone, Cell                         string
		CallerListen, PeerListen, OperatorListen string
		PlatformAddress                          string
		PeerAddresses                            []string
		PeerKey                                  string
	}
	k := Key(file)
	if file == "" {
		k = settingsKey
	}
	if err := decodeTOML(k, body, &w); err != nil {
		return Settings{}, err
	}
	s := Settings(w)
	return s, s.check(k)
}

func (s Settings) check(k Key) error {
	if err := checkName(k, "Name", s.Name); err != nil {
		return err
	}
	if err := checkName(k, "Zone", s.Zone); err != nil {
		return err
	}
	if err := checkName(k, "Cell", s.Cell); err != nil {
		return err
	}
	for _, a := range []struct{ field, address string }{
		{"CallerListen", s.CallerListen},
		{"PeerListen", s.PeerListen},
		{"OperatorListen", s.OperatorListen},
		{"PlatformAddress", s.PlatformAddress},
	} {
		if err := checkAddress(k, a.field, a.address); err != nil {
			return err
		}
	}
	for _, a := range s.PeerAddresses {
		if err := checkAddress(k, "PeerAddresses", a); err != nil {
			return err
		}
	}
	if len(s.PeerKey) < minPeerKeyBytes {
		return &FieldError{k, "PeerKey", "(hidden)", fmt.Sprintf("is shorter than %d bytes", minPeerKeyBytes)}
	}
	return nil
}

// EncodeSettings returns s as TOML, including the secret PeerKey.
func EncodeSettings(s Settings) []byte {
	return encodeTOML(s)
}
