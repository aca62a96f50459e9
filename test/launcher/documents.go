package launcher

// ProofViewerDocument is the document of the proof-viewer service. It has one route of each
// kind: repeatable, at-most-once and long.
const ProofViewerDocument = `{
  "service": "proof-viewer",
  "owner": "studio",
  "hosts": ["proofs.irbid.example"],
  "endpoint": {"slots": 12, "connections": 200},
  "health": {"path": "/healthz"},
  "shed-statuses": [429],
  "routes": [
    {"name": "view", "methods": ["GET", "HEAD"], "path": "/proofs/", "timeout": "2s", "repeatable": true},
    {"name": "sign-off", "methods": ["POST"], "path": "/sign-off", "exact": true, "timeout": "10s", "at-most-once": true},
    {"name": "upload", "methods": ["PUT"], "path": "/artwork/", "class": "long", "timeout": "30m"}
  ]
}
`
