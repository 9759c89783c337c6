package code

import (
	"fmt"
	"strings"
)

// Entry describes a code for callers and operators.
type Entry struct {
	Code Code
	// Name is the constant's name.
	Name string
	// Meaning is one sentence.
	Meaning string
	// Remedy says what the receiver of the code should do.
	Remedy string
}

// Table returns an entry for every code, ordered by code.
func Table() []Entry {
	s := []Entry{}
	s = append(s, settingsEntries()...)
	s = append(s, operatorEntries()...)
	s = append(s, notRunEntries()...)
	s = append(s, unknownEntries()...)
	return append(s, otherEntries()...)
}

func settingsEntries() []Entry {
	return []Entry{
		entry(SettingsUnreadable, "SettingsUnreadable", "The settings file cannot be read.", "Check the path and its permissions."),
		entry(SettingsSyntax, "SettingsSyntax", "The file is not one JSON value.", "Correct the place that the message names."),
		entry(SettingsUnknown, "SettingsUnknown", "The file contains an unknown field.", "Remove the field or correct its name."),
		entry(SettingsType, "SettingsType", "A field's value has the wrong type.", "Set a value of the type that the message names."),
		entry(SettingsMissing, "SettingsMissing", "A required field is missing.", "Add the field."),
		entry(SettingsValue, "SettingsValue", "A field's value is out of range.", "Set a value that the message allows."),
	}
}

func operatorEntries() []Entry {
	return []Entry{
		entry(DeclarationInvalid, "DeclarationInvalid", "The declaration breaks a rule.", "Correct the field that the path names."),
		entry(PlanUnknown, "PlanUnknown", "The plan was not made by a host, or was changed afterwards.", "Plan again."),
		entry(PlanStale, "PlanStale", "Another version was confirmed since the plan was made.", "Plan again and check what changed."),
		entry(PlanExpired, "PlanExpired", "The time in which the plan could be confirmed is over.", "Plan again."),
		entry(PlanOverload, "PlanOverload", "The declaration would overload a region.", "Raise the region's capacity or move less work to it."),
		entry(OperatorDenied, "OperatorDenied", "The operator's key is missing or wrong.", "Check the key file."),
		entry(OperatorInput, "OperatorInput", "The operator's call is not valid.", "Correct what the message names."),
		entry(ConfirmRefused, "ConfirmRefused", "The confirmation did not take effect.", "Confirm again when the platform responds."),
		entry(ConfirmUnknown, "ConfirmUnknown", "It is not known whether the confirmation took effect.", "Confirm again with the same operation, which takes effect only once."),
	}
}

func notRunEntries() []Entry {
	return []Entry{
		entry(RequestInvalid, "RequestInvalid", "The request's headers are not valid.", "Correct the header that the message names."),
		entry(KindUnknown, "KindUnknown", "The declaration has no such kind of work.", "Check the kind."),
		entry(DeadlinePassed, "DeadlinePassed", "The deadline passed before the request was started.", "Try again with a later deadline."),
		entry(NoEndpoint, "NoEndpoint", "No host may send to an endpoint of the upstream.", "Look up again; an operator checks endpoints and hosts."),
		entry(RankFull, "RankFull", "The rank has used its share under overload.", "Wait before trying again."),
		entry(EndpointFull, "EndpointFull", "The endpoint's queue is full.", "Look up again, then try again."),
		entry(CapReached, "CapReached", "A cap on a region, a shift or a link is reached.", "Wait before trying again."),
		entry(HostStopping, "HostStopping", "The host has begun a planned stop.", "Look up again."),
		entry(HostBehind, "HostBehind", "The host does not know the declaration in force.", "Ask another host."),
		entry(UpstreamRefused, "UpstreamRefused", "The endpoint was unreachable, or rejected the request and said that it did not run it.", "Try again."),
		entry(TicketRequired, "TicketRequired", "The request is for non-repeatable work and has neither a ticket nor a key.", "Look up, or send an Idempotency-Key."),
		entry(TicketInvalid, "TicketInvalid", "The ticket was not issued by Heatherford.", "Look up again."),
		entry(TicketExpired, "TicketExpired", "The ticket has expired.", "Look up again."),
		entry(KeyMismatch, "KeyMismatch", "The key was used before with another request.", "Use a new key."),
		entry(BodyTooLarge, "BodyTooLarge", "The request body is longer than the limit or incomplete.", "Send a shorter body."),
		entry(HopRefused, "HopRefused", "The host to which the request was forwarded refused it.", "Look up again."),
		entry(RequestCancelled, "RequestCancelled", "The caller disconnected before the request was started.", "Nothing."),
		entry(NotRunTombstone, "NotRunTombstone", "The request was not run, and its ticket can no longer be used.", "Look up again and use a new ticket."),
		entry(LookupInvalid, "LookupInvalid", "The look-up is not valid.", "Correct what the message names."),
		entry(GrantLapsed, "GrantLapsed", "The host's lease of the endpoint ends before the request's deadline, and the slots for such requests are all in use.", "Look up again."),
		entry(ClaimFailed, "ClaimFailed", "The claim of non-repeatable work could not be written in time and will never be used.", "Look up again for a new ticket."),
		entry(RequestQuarantined, "RequestQuarantined", "Endpoints crashed while they ran requests of this content; it is tried again only now and then.", "Come back after the stated time; an operator looks at the upstream."),
		entry(HostIsolated, "HostIsolated", "The host reaches no endpoint, and knows of no other host that does and may pass the request on.", "Come back after the time of Retry-After."),
		entry(NotAnEndpoint, "NotAnEndpoint", "A host sent the request to this host as if it were an endpoint, by an entry that another writer left.", "An operator removes the entry."),
	}
}

func unknownEntries() []Entry {
	return []Entry{
		entry(OutcomeUnknown, "OutcomeUnknown", "The request may have been run; no answer was received.", "Ask for the outcome with the same key; never send it under a new one."),
		entry(AnswerIncomplete, "AnswerIncomplete", "The answer ended before it was complete.", "As 4001."),
		entry(AnswerForeign, "AnswerForeign", "The endpoint answered another request; the answer was discarded.", "As 4001; an operator checks the endpoint."),
		entry(UpstreamSilent, "UpstreamSilent", "Nothing more was received on the connection to the endpoint.", "As 4001."),
		entry(OutcomeUnrecorded, "OutcomeUnrecorded", "The request was run, but its answer was not kept.", "As 4001."),
		entry(OutcomeDiscarded, "OutcomeDiscarded", "The caller disconnected before the end of the answer.", "Nothing."),
		entry(RepeatableNoAnswer, "RepeatableNoAnswer", "No answer was received for repeatable work.", "Try again."),
		entry(CopyRefused, "CopyRefused", "This copy of non-repeatable work was refused, and it is not known whether another copy was run.", "Send the copy again, with the same ticket or key."),
		entry(HomeGone, "HomeGone", "Between hosts: the receiver is not the process that the ticket names as its home.", "Nothing; the host that forwarded the request determines the outcome."),
	}
}

func otherEntries() []Entry {
	return []Entry{
		entry(Answered, "Answered", "An upstream answered.", "Nothing."),
		entry(PlatformDown, "PlatformDown", "The platform did not answer and nothing was written.", "Wait; requests are still handled meanwhile."),
		entry(PlatformConflict, "PlatformConflict", "The condition of a write was not met.", "Read again."),
		entry(PlatformUnknown, "PlatformUnknown", "It is not known whether a write took effect.", "Read it back."),
		entry(PeerUnreachable, "PeerUnreachable", "A host did not answer another host.", "Check the host and the network between the two."),
		entry(PeerDenied, "PeerDenied", "A host was refused by another host.", "Check the peers' keys."),
		entry(ObjectMissing, "ObjectMissing", "The platform has no such object.", "Check the name."),
	}
}

func entry(c Code, name, meaning, remedy string) Entry {
	return Entry{
		Code:    c,
		Name:    name,
		Meaning: meaning,
		Remedy:  remedy,
	}
}

// Markdown returns the table in the form in which docs/CODES.md contains it.
func Markdown() string {
	b := &strings.Builder{}
	fmt.Fprintln(b, "| code | name | status | outcome | meaning | what to do |")
	fmt.Fprintln(b, "| --- | --- | --- | --- | --- | --- |")
	for _, e := range Table() {
		o := string(e.Code.Outcome())
		if o == "" {
			o = "-"
		}
		fmt.Fprintf(b, "| %d | `%s` | %d | %s | %s | %s |\n", e.Code, e.Name, e.Code.Status(), o, e.Meaning, e.Remedy)
	}
	return b.String()
}
