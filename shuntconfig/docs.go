package shuntconfig

// DocumentDoc describes one kind of published document in the generated page.
type DocumentDoc struct {
	Title  string
	Text   string
	Fields []SettingDoc
}

// DocumentDocs returns the descriptions of all kinds of published documents.
func DocumentDocs() []DocumentDoc {
	return []DocumentDoc{
		{"Document `Fleet`", "The availability zones and the VMs. Operators take a zone or a VM out of service here.", []SettingDoc{
			{"Zones.Name", "String", "", "none, required", "The availability zone.", "0.1"},
			{"Zones.Region", "String", "", "none, required", "Its region.", "0.1"},
			{"Zones.InService", "Boolean", "", "false", "False: its backend servers get no new work, and its VMs leave.", "0.1"},
			{"VMs.Name", "String", "", "none, required", "The VM's name. A replacement takes the name of the one before it.", "0.1"},
			{"VMs.Zone", "String", "", "none, required", "One of Zones.", "0.1"},
			{"VMs.Cell", "String", "", "none, required", "The VMs of one cell grant each other leases. Nine to fifteen VMs, over several zones.", "0.1"},
			{"VMs.InService", "Boolean", "", "false", "False: the VM leaves.", "0.1"},
			{"VMs.CallerAddress", "String", "host:port", "none, required", "Where callers connect.", "0.1"},
			{"VMs.PeerAddress", "String", "host:port", "none, required", "Where other VMs connect.", "0.1"},
			{"VMs.OperatorAddress", "String", "host:port", "none, required", "Where operators connect.", "0.1"},
		}},
		{"Document `Template/<name>`", "A shared form of workspaces.", []SettingDoc{
			{"Parameters.<name>.Type", "String", "", "none, required", "String, Integer, Float, Boolean or StringList.", "0.1"},
			{"Parameters.<name>.Default", "any", "", "none", "Without a default every workspace has to give the value.", "0.1"},
			{"Parameters.<name>.Min, Max", "Float", "", "none", "Bounds of Integer and Float values.", "0.1"},
			{"Settings.<name>", "any", "", "see above", "A setting of the workspaces.", "0.1"},
		}},
		{"Document `Workspace/<name>`", "A workspace made from a template.", []SettingDoc{
			{"Template", "String", "", "none, required", "The template's name.", "0.1"},
			{"Parameters.<name>", "any", "", "the template's", "A parameter's value.", "0.1"},
		}},
		{"Document `Service/<name>`", "Backend servers that hold the same shards.", []SettingDoc{
			{"Slots", "Integer", "requests", "none, required", "Requests that one backend server works on at a time.", "0.1"},
			{"Connections", "Integer", "connections", "none, required", "Connections that one backend server accepts. An owner uses at most half of them.", "0.1"},
			{"ColdBears", "Integer", "requests", "1", "Requests at a time that a freshly started backend server bears.", "0.1"},
			{"WarmStepMilliseconds", "Integer", "ms", "250", "Least time at each step of the warm-up.", "0.1"},
			{"WarmStepRequests", "Integer", "requests", "4", "Requests to serve at each step, for each request at a time that the server bears there.", "0.1"},
			{"Servers.Name", "String", "", "none, required", "The backend server's name, unique in the service.", "0.1"},
			{"Servers.Address", "String", "host:port", "none, required", "Where it listens.", "0.1"},
			{"Servers.Zone", "String", "", "none, required", "Its availability zone.", "0.1"},
			{"Servers.Draining", "Boolean", "", "false", "True: it gets no new work.", "0.1"},
			{"Snapshots.Version", "Integer", "", "none, required", "Version of the index.", "0.1"},
			{"Snapshots.Generation", "Integer", "", "0", "Generation of the shard map over it.", "0.1"},
			{"Snapshots.Shards.Name", "String", "", "none, required", "The shard.", "0.1"},
			{"Snapshots.Shards.Servers", "StringList", "", "none, required", "The servers that hold it.", "0.1"},
		}},
	}
}
