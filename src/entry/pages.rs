//! Reads of tables that the store gives in pages, ordered by the bytes of the keys.
//!
//! Any program may write rows there. So a read may meet a key after which the store gives no next
//! page: one that it shows otherwise than it keeps it, or cannot read in a call.

use crate::entry::platform::StoreError;
use crate::json::escape;
use crate::prelude::*;

/// The most characters of a key that a log line quotes.
const MAX_QUOTED_CHARS: usize = 64;
/// The longest key that the store keeps.
const MAX_KEY_BYTES: usize = 255;

/// Where the page after a page begins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NextPage {
    /// There is none.
    #[default]
    None,
    /// After this key.
    After(Box<[u8]>),
    /// There is one, but no key of the page is shown as the store keeps it.
    Unknown {
        /// The last key as it is shown; empty if it cannot be read.
        shown: Box<[u8]>,
    },
}

/// A page of rows.
#[derive(Debug)]
pub struct Page<T> {
    /// The rows, ordered by key.
    pub rows: Vec<T>,
    /// Where the next page begins.
    pub next: NextPage,
}

/// Why a read did not reach the last page.
#[derive(Debug, PartialEq, Eq)]
pub enum PageError {
    /// A call failed; the same page may be read later.
    Failed(StoreError),
    /// The read does not lead on.
    Stalled(Stall),
}

/// Where and why a read does not lead on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Stall {
    /// The key after which there is no next page, escaped and cut; empty for the first page.
    pub after: String,
    /// What the store gave instead.
    pub why: String,
}

/// A read of all pages of a table.
#[derive(Debug)]
pub struct PagedRead<T> {
    /// The rows of the pages that were read.
    pub rows: Vec<T>,
    /// The key after which the next page begins.
    after: Option<Box<[u8]>>,
    /// The key that the read is getting past.
    obstacle: Option<Box<[u8]>>,
    /// Where the read got past a key and may have missed others.
    gap: Option<Stall>,
    pages: usize,
    is_at_end: bool,
}

impl<T> PagedRead<T> {
    /// Begins a read of the rows after a key, or of all rows.
    pub fn new(after: Option<&[u8]>) -> Self {
        Self {
            rows: Vec::new(),
            after: after.map(Box::from),
            obstacle: None,
            gap: None,
            pages: 0,
            is_at_end: false,
        }
    }

    /// Returns whether at least one page was read.
    pub fn has_begun(&self) -> bool {
        self.pages > 0
    }

    /// Returns whether all pages were read.
    pub fn is_whole(&self) -> bool {
        self.is_at_end && self.gap.is_none()
    }

    /// Reads the remaining pages, at most `max_pages` in all. A read that failed may be continued.
    ///
    /// # Errors
    ///
    /// Returns why not all pages were read.
    pub async fn read_on(
        &mut self,
        max_pages: usize,
        mut read: impl AsyncFnMut(Option<&[u8]>) -> Result<Page<T>, StoreError>,
    ) -> Result<(), PageError> {
        while !self.is_at_end {
            if self.pages >= max_pages {
                let why = format!("there are more than {max_pages} pages");
                return Err(PageError::Stalled(self.stall(&why)));
            }
            self.read_page(&mut read).await?;
        }
        match &self.gap {
            None => Ok(()),
            Some(stall) => Err(PageError::Stalled(stall.clone())),
        }
    }

    /// Reads the next page.
    ///
    /// # Errors
    ///
    /// Returns why it was not read.
    pub async fn read_page(
        &mut self,
        mut read: impl AsyncFnMut(Option<&[u8]>) -> Result<Page<T>, StoreError>,
    ) -> Result<(), PageError> {
        let page = match read(self.after.as_deref()).await {
            Ok(page) => page,
            Err(error) if error.is_lasting() => {
                return self.go_past(None, &error.to_string());
            }
            Err(error) => return Err(PageError::Failed(error)),
        };
        self.pages += 1;
        match page.next {
            NextPage::None => self.is_at_end = true,
            NextPage::After(key) if self.after.as_ref().is_none_or(|after| key > *after) => {
                self.after = Some(key);
            }
            NextPage::After(_) => return self.go_past(None, "the next page ends no later"),
            NextPage::Unknown { shown } => {
                if self.obstacle.as_ref() != Some(&shown) {
                    self.rows.extend(page.rows);
                    self.obstacle = None;
                }
                return self.go_past(Some(shown), "no key of a page can be read");
            }
        }
        self.obstacle = None;
        self.rows.extend(page.rows);
        Ok(())
    }

    /// Goes on past a key in the next way that was not tried: the one that the read is getting past, or
    /// the given one, or the one after which the last page was asked for.
    fn go_past(&mut self, key: Option<Box<[u8]>>, why: &str) -> Result<(), PageError> {
        let stall = self.stall(why);
        let after = self.after.clone().unwrap_or_default();
        let key = self.obstacle.take().or(key);
        let key = key.unwrap_or_else(|| after.clone());
        let ways = ways_past(&key).into_iter();
        let way = ways.filter(|way| *way > after).min();
        self.obstacle = Some(key);
        let Some(way) = way else {
            return Err(PageError::Stalled(stall));
        };
        self.after = Some(way);
        self.gap.get_or_insert(stall);
        Ok(())
    }

    fn stall(&self, why: &str) -> Stall {
        let key = self.obstacle.as_ref().or(self.after.as_ref());
        let key = key.map(|key| String::from_utf8_lossy(key));
        Stall {
            after: escape(&key.unwrap_or_default(), MAX_QUOTED_CHARS),
            why: why.to_string(),
        }
    }
}

/// Returns keys from which a read may go on past `key`; none if it is ASCII, which the store shows as it
/// keeps it.
///
/// The first is the key itself. The others are later than all texts, and than all bytes, that begin with
/// the same ASCII characters and go on beyond ASCII, and earlier than all other keys after those. The
/// second one is text, for a store that reads its calls as such.
fn ways_past(key: &[u8]) -> Vec<Box<[u8]>> {
    let Some(length) = key.iter().position(|byte| !byte.is_ascii()) else {
        return Vec::new();
    };
    let (ascii, rest) = key.split_at(length);
    let last_text = char::MAX.to_string();
    let last_bytes = vec![u8::MAX; (MAX_KEY_BYTES + 1).saturating_sub(length)];
    let ends = [rest, last_text.as_bytes(), &last_bytes];
    ends.map(|end| [ascii, end].concat().into()).into()
}
