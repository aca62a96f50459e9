// Package validator holds the types of documents and settings and reads them from
// JSON. A table of fields drives the parser, the help and the pages in docs/.
package validator

// Section is one object of an input with its fields, for help and docs.
type Section struct {
	// Path is the field that holds the object; empty for the input itself.
	Path   string
	Fields []Field
}

// DocumentSections lists the fields of a document.
func DocumentSections() []Section {
	return []Section{
		{
			Path:   "",
			Fields: describe(documentFields),
		},
		{
			Path:   "endpoint",
			Fields: describe(endpointFields),
		},
		{
			Path:   "health",
			Fields: describe(healthFields),
		},
		{
			Path:   "routes[]",
			Fields: describe(routeFields),
		},
	}
}

// SettingsSections lists the fields of settings.
func SettingsSections() []Section {
	return []Section{
		{
			Path:   "",
			Fields: describe(settingsFields),
		},
		{
			Path:   "availability-zones[]",
			Fields: describe(zoneFields),
		},
		{
			Path:   "platform",
			Fields: describe(platformFields),
		},
		{
			Path:   "owners[]",
			Fields: describe(ownerFields),
		},
	}
}

// SidecarSections lists the fields of the settings of a sidecar.
func SidecarSections() []Section {
	return []Section{
		{
			Path:   "",
			Fields: describe(sidecarFields),
		},
		{
			Path:   "availability-zones[]",
			Fields: describe(zoneFields),
		},
		{
			Path:   "bounds",
			Fields: describe(boundsFields),
		},
	}
}

func describe[T any](fields []field[T]) []Field {
	result := make([]Field, 0, len(fields))
	for _, f := range fields {
		result = append(result, f.Field)
	}
	return result
}
