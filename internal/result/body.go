package result

import "encoding/json"

// errorDoc is the body of an answer that isn't a whole answer.
type errorDoc struct {
	Error errorInfo `json:"error"`
}

// errorInfo describes the result to the caller.
type errorInfo struct {
	Code    Code   `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	// Ran is "no", "yes" or "unknown".
	Ran    string `json:"ran"`
	Resend string `json:"resend"`
	// RetryAfterMillis is when to come back; absent if unstated.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Body returns the JSON of the error for the caller.
func (e *Error) Body() []byte {
	info, _ := Lookup(e.Code)
	body, err := json.Marshal(errorDoc{errorInfo{
		Code: e.Code, Type: info.Name, Message: e.Reason, Ran: info.Ran.String(),
		Resend: info.Resend, RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		// The document holds nothing that can't be encoded.
		panic("result: encode: " + err.Error())
	}
	return body
}
