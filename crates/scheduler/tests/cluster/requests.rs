//! Client requests and configuration changes.

use messages::job::JobSpec;
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::{CancelRequest, ClientReply, ClientRequest, CountRequest, ReadRequest, SubmitRequest};
use scheduler::leader::{ConfigurationReply, Input};

use super::{Cluster, HOST};

impl Cluster {
    fn request(&mut self, path: String, call: OneOfcall) -> u64 {
        self.next_token += 1;
        let token = self.next_token;
        let request =
            ClientRequest { request_id: token, host: HOST.to_owned(), path, time_left_ms: 3_000, call };
        self.handle(Input::Client { token, request });
        token
    }

    /// Submits a job and returns the token of the request.
    pub fn send_job(&mut self, prefix: &str, id: u64, job: JobSpec) -> u64 {
        self.jobs.insert(id, job.clone());
        self.request(format!("{prefix}{id:016x}"), OneOfcall::submit(SubmitRequest { id, job: Some(job) }))
    }

    /// Runs until the request has a reply, for at most 3 s.
    fn wait_for_reply(&mut self, token: u64) -> Option<ClientReply> {
        self.run_until(3_000, |cluster| cluster.replies.contains_key(&token));
        self.replies.get(&token).cloned()
    }

    pub fn submit(&mut self, prefix: &str, id: u64, job: JobSpec) -> Option<ClientReply> {
        let token = self.send_job(prefix, id, job);
        self.wait_for_reply(token)
    }

    pub fn read(&mut self, prefix: &str, id: u64) -> Option<ClientReply> {
        let token = self.request(format!("{prefix}{id:016x}"), OneOfcall::read(ReadRequest { id }));
        self.wait_for_reply(token)
    }

    /// Cancels a job and returns the token of the request.
    pub fn send_cancel(&mut self, prefix: &str, id: u64) -> u64 {
        self.request(format!("{prefix}{id:016x}"), OneOfcall::cancel(CancelRequest { id }))
    }

    pub fn cancel(&mut self, prefix: &str, id: u64) -> Option<ClientReply> {
        let token = self.send_cancel(prefix, id);
        self.wait_for_reply(token)
    }

    pub fn count(&mut self, prefix: &str) -> Option<ClientReply> {
        let token = self.request(prefix.to_owned(), OneOfcall::count(CountRequest {}));
        self.wait_for_reply(token)
    }

    pub fn send_configuration(&mut self, body: Vec<u8>, if_match: Option<u64>) -> u64 {
        self.next_token += 1;
        let token = self.next_token;
        self.handle(Input::PutConfiguration { token, if_match, body });
        token
    }

    pub fn configure(&mut self, body: Vec<u8>, if_match: Option<u64>) -> Option<ConfigurationReply> {
        let token = self.send_configuration(body, if_match);
        self.run_until(3_000, |cluster| cluster.configuration_replies.contains_key(&token));
        self.configuration_replies.get(&token).cloned()
    }
}
