//! Pages of the platform's list. A page whose bytes have not changed is not parsed again.
//!
//! A list of a thousand workers is read every second but changes only a few times an hour.

use super::error::PlatformError;
use bytes::Bytes;
use configuration::instances::{self, Instance, InstancePage};
use std::sync::Arc;

/// Identifies a read of the list.
pub type ReadId = u64;

/// A page of the list, which the driver gets as soon as it arrives.
#[derive(Clone, Debug)]
pub struct ListedPage {
    /// The instances of the page, in the platform's order.
    pub instances: Arc<[Instance]>,
    /// When the page was requested, in nanoseconds of the process's clock. The page shows the list as of this
    /// time or later.
    pub requested_at: u64,
    /// Whether the page differs from the page at the same position in the last complete read.
    pub has_changed: bool,
    /// Only on the last page: all pages of the list, including this one.
    pub complete_list: Option<Vec<Arc<[Instance]>>>,
}

/// The pages of the last complete list.
#[derive(Clone, Debug, Default)]
pub struct ListPages {
    pages: Vec<ParsedPage>,
}

#[derive(Clone, Debug)]
struct ParsedPage {
    body: Bytes,
    instances: Arc<[Instance]>,
    next_token: Option<String>,
}

/// A list that is being read, page by page.
#[derive(Debug)]
pub struct ListRead {
    previous: ListPages,
    pages: Vec<ParsedPage>,
}

impl ListPages {
    /// Starts another read of the list.
    pub fn start_read(&self) -> ListRead {
        ListRead { previous: self.clone(), pages: Vec::with_capacity(self.pages.len()) }
    }
}

impl ListRead {
    /// Adds the next page, which was requested at `requested_at`.
    ///
    /// # Errors
    ///
    /// Fails if the page or one of its entries cannot be parsed.
    pub fn add_page(&mut self, body: Bytes, requested_at: u64) -> Result<ListedPage, PlatformError> {
        let earlier = self.previous.pages.get(self.pages.len()).filter(|earlier| earlier.body == body);
        let has_changed = earlier.is_none();
        let page = match earlier {
            Some(earlier) => earlier.clone(),
            None => ParsedPage::read(body)?,
        };
        let (instances, is_last) = (page.instances.clone(), page.next_token.is_none());
        self.pages.push(page);
        let complete_list = is_last.then(|| self.pages.iter().map(|page| page.instances.clone()).collect());
        Ok(ListedPage { instances, requested_at, has_changed, complete_list })
    }

    /// The token of the page after those read so far; `None` if there is no further page.
    pub fn next_token(&self) -> Option<&str> {
        self.pages.last()?.next_token.as_deref()
    }

    /// Returns the pages, for comparison with the next read.
    pub fn into_pages(self) -> ListPages {
        ListPages { pages: self.pages }
    }
}

impl ParsedPage {
    fn read(body: Bytes) -> Result<Self, PlatformError> {
        let InstancePage { instances, next_token, unreadable } = instances::read(&body)?;
        if unreadable > 0 {
            return Err(PlatformError::Unreadable(unreadable));
        }
        Ok(ParsedPage { body, instances: instances.into(), next_token })
    }
}
