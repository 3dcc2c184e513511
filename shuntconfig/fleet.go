package shuntconfig

// Fleet lists the availability zones and the entry VMs.
type Fleet struct {
	Version int64
	Zones   []Zone
	VMs     []VM
}

// Zone is an availability zone.
type Zone struct {
	Name      string
	Region    string
	InService bool
}

// VM is one entry VM. When a VM is replaced, the new one takes over its name and
// therefore its membership in the cell.
type VM struct {
	Name      string
	Zone      string
	Cell      string
	InService bool
	// CallerAddress, PeerAddress and OperatorAddress are the host:port
	// addresses of the VM's three listeners.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
}

// Zone returns the zone with the given name.
func (f Fleet) Zone(name string) (Zone, bool) {
	for _, z := range f.Zones {
		if z.Name == name {
			return z, true
		}
	}
	return Zone{}, false
}

// VM returns the VM with the given name.
func (f Fleet) VM(name string) (VM, bool) {
	for _, v := range f.VMs {
		if v.Name == name {
			return v, true
		}
	}
	return VM{}, false
}

// ZoneInService reports whether the named zone is listed and in service.
func (f Fleet) ZoneInService(name string) bool {
	z, ok := f.Zone(name)
	return ok && z.InService
}

// VMInService reports whether the named VM is listed and both the VM and its
// zone are in service.
func (f Fleet) VMInService(name string) bool {
	v, ok := f.VM(name)
	return ok && v.InService && f.ZoneInService(v.Zone)
}

// Cell returns the VMs of the named cell, in the order of the document.
func (f Fleet) Cell(name string) []VM {
	var out []VM
	for _, v := range f.VMs {
		if v.Cell == name {
			out = append(out, v)
		}
	}
	return out
}

// PeerAddresses returns the peer addresses of all VMs other than the one named
// except.
func (f Fleet) PeerAddresses(except string) []string {
	var out []string
	for _, v := range f.VMs {
		if v.Name != except {
			out = append(out, v.PeerAddress)
		}
	}
	return out
}

// WithZoneInService returns a copy of f with the named zone in or out of service.
func (f Fleet) WithZoneInService(name string, inService bool) Fleet {
	zones := make([]Zone, len(f.Zones))
	copy(zones, f.Zones)
	for i := range zones {
		if zones[i].Name == name {
			zones[i].InService = inService
		}
	}
	f.Zones = zones
	return f
}

// WithVMInService returns a copy of f with the named VM in or out of service.
func (f Fleet) WithVMInService(name string, inService bool) Fleet {
	vms := make([]VM, len(f.VMs))
	copy(vms, f.VMs)
	for i := range vms {
		if vms[i].Name == name {
			vms[i].InService = inService
		}
	}
	f.VMs = vms
	return f
}

func (f Fleet) check() error {
	zones := map[string]bool{}
	for _, z := range f.Zones {
		if err := checkName(FleetKey, "Zones.Name", z.Name); err != nil {
			return err
		}
		if err := checkName(FleetKey, "Zones.Region", z.Region); err != nil {
			return err
		}
		if zones[z.Name] {
			return &FieldError{FleetKey, "Zones.Name", z.Name, "is there twice"}
		}
		zones[z.Name] = true
	}
	names := map[string]bool{}
	for _, v := range f.VMs {
		if err := v.check(zones); err != nil {
			return err
		}
		if names[v.Name] {
			return &FieldError{FleetKey, "VMs.Name", v.Name, "is there twice"}
		}
		names[v.Name] = true
	}
	return nil
}

func (v VM) check(zones map[string]bool) error {
	if err := checkName(FleetKey, "VMs.Name", v.Name); err != nil {
		return err
	}
	if !zones[v.Zone] {
		return &FieldError{FleetKey, "VMs.Zone", v.Zone, "is not among Zones (VM " + v.Name + ")"}
	}
	if err := checkName(FleetKey, "VMs.Cell", v.Cell); err != nil {
		return err
	}
	if err := checkAddress(FleetKey, "VMs.CallerAddress", v.CallerAddress); err != nil {
		return err
	}
	if err := checkAddress(FleetKey, "VMs.PeerAddress", v.PeerAddress); err != nil {
		return err
	}
	return checkAddress(FleetKey, "VMs.OperatorAddress", v.OperatorAddress)
}
