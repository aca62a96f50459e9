// Package validator holds the types of documents and settings, decodes them from JSON and
// validates them. Tables of fields drive the parser, the command-line help and the
// reference page.
package validator

// Section lists the fields of one JSON object of an input, for the help and the reference
// page.
type Section struct {
	// Path is the field that holds the object. It is empty for the top-level object.
	Path   string
	Fields []Field
}

// DocumentSections lists the fields of a document.
func DocumentSections() []Section {
	return []Section{
		{
			Path:   "",
			Fields: descriptions(documentFields),
		},
		{
			Path:   "endpoint",
			Fields: descriptions(endpointFields),
		},
		{
			Path:   "health",
			Fields: descriptions(healthFields),
		},
		{
			Path:   "routes[]",
			Fields: descriptions(routeFields),
		},
	}
}

// SettingsSections lists the fields of the settings.
func SettingsSections() []Section {
	return []Section{
		{
			Path:   "",
			Fields: descriptions(settingsFields),
		},
		{
			Path:   "availability-zones[]",
			Fields: descriptions(zoneFields),
		},
		{
			Path:   "platform",
			Fields: descriptions(platformFields),
		},
		{
			Path:   "owners[]",
			Fields: descriptions(ownerFields),
		},
	}
}

// SidecarSections lists the fields of the settings of a sidecar.
func SidecarSections() []Section {
	return []Section{
		{
			Path:   "",
			Fields: descriptions(sidecarFields),
		},
		{
			Path:   "availability-zones[]",
			Fields: descriptions(zoneFields),
		},
		{
			Path:   "bounds",
			Fields: descriptions(operatorLimitFields),
		},
	}
}

// descriptions returns the public part of a table of fields.
func descriptions[T any](fields []field[T]) []Field {
	result := make([]Field, 0, len(fields))
	for _, f := range fields {
		result = append(result, f.Field)
	}
	return result
}
