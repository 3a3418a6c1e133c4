//! Wall-clock time in milliseconds that never decreases within the process.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall-clock reading and instant taken together at first use.
struct Anchor {
    unix_ms: u64,
    instant: Instant,
}

static ANCHOR: LazyLock<Anchor> = LazyLock::new(|| Anchor {
    unix_ms: system_ms(),
    instant: Instant::now(),
});

fn system_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    as_ms(since_epoch)
}

/// Converts a duration to whole milliseconds.
pub fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the Unix time in milliseconds.
pub fn now_ms() -> u64 {
    let anchor = &*ANCHOR;
    anchor.unix_ms + as_ms(anchor.instant.elapsed())
}

/// Waits for a number of milliseconds.
pub async fn sleep_ms(wait_ms: u64) {
    smol::Timer::after(Duration::from_millis(wait_ms)).await;
}
