//! A poison request, which crashes each backend server that runs it, must be refused
//! after two crashes instead of being retried on every server.

use std::time::Duration;

use testbed::site::{Client, ClientRequest, Site, SitePlan};

#[tokio::test]
async fn poison_request_crashes_at_most_two_servers() {
    let mut site = Site::start(SitePlan::small().unwrap()).await.unwrap();
    let client = Client::new(site.api_addrs()[0], "terminy").await.unwrap();
    let request = ClientRequest::new("/terminy/?rig-crash=1").with_deadline(Duration::from_secs(3));
    let mut results = Vec::new();
    for _ in 0..6 {
        results.push(
            client
                .send(&request)
                .await
                .map(|response| response.summary()),
        );
    }
    let mut crashed = 0;
    for backend in site
        .backends
        .iter_mut()
        .filter(|b| b.service.as_str() == "terminy")
    {
        let short = Duration::from_millis(200);
        crashed += u32::from(backend.process.wait_exit(short).await.is_ok());
    }
    assert!(crashed <= 2, "{crashed} servers crashed: {results:?}");
    let last = results.pop().unwrap().unwrap();
    assert_eq!(last, "422 poison unknown", "{results:?}");
}
