//! Error responses of the daemon, compared with the table of error kinds.

use std::time::Duration;

use baobabreel_core::error::ANSWERS;
use baobabreel_daemon::Dialect;
use baobabreel_daemon::proxy::CallError;
use http::Response;

fn header<B>(res: &Response<B>, name: &str) -> Option<String> {
    let value = res.headers().get(name)?;
    Some(value.to_str().expect("text").to_owned())
}

/// Guards against an error response whose status, outcome or `Retry-After` differs from the table.
#[test]
fn error_responses_match_the_table() {
    for answer in &ANSWERS {
        let res = CallError::new(answer.kind, "why").into_response(&Dialect::default());
        assert_eq!(res.status().as_u16(), answer.status, "{}", answer.name);
        let outcome = header(&res, "baobabreel-outcome");
        assert_eq!(outcome.as_deref(), Some(answer.outcome.as_str()));
        let after = answer.retry_after.map(|after| after.as_secs().to_string());
        assert_eq!(header(&res, "retry-after"), after, "{}", answer.name);
        // A given delay is rounded up to whole seconds, and left out if the kind is not retryable.
        let error =
            CallError::new(answer.kind, "why").with_retry_after(Duration::from_millis(2_100));
        let after = answer.retryable.then(|| "3".to_owned());
        assert_eq!(header(&error.into_response(&Dialect::default()), "retry-after"), after);
    }
}
