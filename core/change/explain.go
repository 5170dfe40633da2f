package change

var adviceByReason = map[Reason]string{
	ReasonMalformed:        "Correct the named field and submit the change under a new ID.",
	ReasonForbidden:        "Ask an operator whose organisation and roles cover the change.",
	ReasonExists:           "Use revise with the current revision, or another name.",
	ReasonNotFound:         "Check the name; use put to create it.",
	ReasonRevisionMismatch: "Another change came first. Read the current state and submit again with its revision under a new ID.",
	ReasonInUse:            "Withdraw the teams that use the template, or move them to another one, first.",
	ReasonUnknownTemplate:  "Put the template first, or correct the name of the template.",
	ReasonExpansionFailed:  "Correct the named field of the template or parameter of the team.",
	ReasonHostTaken:        "A host belongs to one organisation with all its paths. Choose another host.",
	ReasonLimitExceeded:    "Withdraw what is not used any more.",
	ReasonIDReused:         "Submit the change under a new ID.",
}

// Advice returns what an operator can do about a refusal with reason r; empty if r is unknown.
func Advice(r Reason) string { return adviceByReason[r] }
