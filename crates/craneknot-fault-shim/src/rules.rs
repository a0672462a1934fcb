//! The fault rules and the offset of the wall clock. They are read once, before the program starts, so that a
//! signal handler can query them at any time.

use std::ffi::c_int;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The calls into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Socket,
    Accept4,
    Connect,
    Recv,
    Send,
    Writev,
    EpollCtl,
    EpollWait,
    Open,
    Fsync,
    Write,
    PthreadCreate,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Pass,
    /// The call reads or writes at most one byte.
    Short,
    /// The call fails with this error code.
    Fail(c_int),
}

const CALLS: &[(&str, Call)] = &[
    ("socket", Call::Socket),
    ("accept4", Call::Accept4),
    ("connect", Call::Connect),
    ("recv", Call::Recv),
    ("send", Call::Send),
    ("writev", Call::Writev),
    ("epoll_ctl", Call::EpollCtl),
    ("epoll_wait", Call::EpollWait),
    ("open", Call::Open),
    ("fsync", Call::Fsync),
    ("write", Call::Write),
    ("pthread_create", Call::PthreadCreate),
];

const ERRORS: &[(&str, c_int)] = &[
    ("EINTR", libc::EINTR),
    ("EAGAIN", libc::EAGAIN),
    ("EMFILE", libc::EMFILE),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EIO", libc::EIO),
    ("EPROTO", libc::EPROTO),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// The calls to which a rule applies.
enum Trigger {
    /// Each call with this probability, in units of 2^-32.
    Probability(u64),
    /// The first calls, as many as this counter, which counts down.
    First(AtomicU64),
}

struct Rule {
    call: Call,
    outcome: Outcome,
    trigger: Trigger,
}

struct Rules {
    rules: Vec<Rule>,
    seed: u64,
    offset: i64,
    offset_file: Option<String>,
}

static RULES: OnceLock<Rules> = OnceLock::new();
static DRAW_COUNT: AtomicU64 = AtomicU64::new(0);

/// Reads the environment variables when the library is loaded.
#[used]
#[link_section = ".init_array"]
static INITIALIZE: extern "C" fn() = {
    extern "C" fn initialize() {
        RULES.get_or_init(read_variables);
    }
    initialize
};

fn env_number<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

fn read_variables() -> Rules {
    let text = std::env::var("CRANEKNOT_FAULTS").unwrap_or_default();
    let rules = text.split(';').filter(|rule| !rule.is_empty()).map(|rule| {
        parse(rule).unwrap_or_else(|| {
            eprintln!(
                "CRANEKNOT_FAULTS: {rule:?} is not a valid rule; an example is accept4=ECONNABORTED@0.2"
            );
            std::process::abort()
        })
    });
    Rules {
        rules: rules.collect(),
        seed: env_number("CRANEKNOT_FAULT_SEED").unwrap_or(0),
        offset: env_number("CRANEKNOT_WALL_OFFSET_S").unwrap_or(0),
        offset_file: std::env::var("CRANEKNOT_WALL_OFFSET_FILE").ok(),
    }
}

fn parse(rule: &str) -> Option<Rule> {
    let (call, rest) = rule.split_once('=')?;
    let call = CALLS.iter().find(|(name, _)| *name == call)?.1;
    let (outcome, trigger) = match (rest.split_once('@'), rest.split_once('#')) {
        (Some((outcome, share)), _) => {
            (outcome, Trigger::Probability((share.parse::<f64>().ok()? * 2f64.powi(32)) as u64))
        }
        (None, Some((outcome, count))) => (outcome, Trigger::First(AtomicU64::new(count.parse().ok()?))),
        (None, None) => return None,
    };
    let outcome = match outcome {
        "SHORT" => Outcome::Short,
        code => Outcome::Fail(ERRORS.iter().find(|(name, _)| *name == code)?.1),
    };
    Some(Rule { call, outcome, trigger })
}

/// A pseudo-random number below 2^32, which depends on the seed and on how many were drawn before.
fn draw(seed: u64) -> u64 {
    let count = DRAW_COUNT.fetch_add(1, Ordering::Relaxed);
    let mut mixed = (seed ^ count.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) >> 32
}

/// Whether any rule applies to this kind of call.
pub fn has_rule(call: Call) -> bool {
    RULES.get().is_some_and(|rules| rules.rules.iter().any(|rule| rule.call == call))
}

/// The outcome of this call by the first rule that applies to it.
pub fn outcome(call: Call) -> Outcome {
    let Some(rules) = RULES.get() else { return Outcome::Pass };
    for rule in rules.rules.iter().filter(|rule| rule.call == call) {
        let applies = match &rule.trigger {
            Trigger::Probability(share) => draw(rules.seed) < *share,
            Trigger::First(left) => {
                let decrement = |left: u64| left.checked_sub(1);
                left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok()
            }
        };
        if applies {
            return rule.outcome;
        }
    }
    Outcome::Pass
}

/// The offset of the wall clock, in seconds.
pub fn wall_offset() -> i64 {
    let Some(rules) = RULES.get() else { return 0 };
    let in_file = rules.offset_file.as_ref().and_then(|file| std::fs::read_to_string(file).ok());
    in_file.and_then(|text| text.trim().parse().ok()).unwrap_or(rules.offset)
}
