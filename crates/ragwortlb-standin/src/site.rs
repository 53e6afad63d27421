/*!
Sites of the two users: availability zones, services, targets, addresses, and the
configuration that describes them.

A site has one high-priority service and one low-priority service.
*/

use std::{fmt::Write as _, io, net::SocketAddr, str::FromStr};

use ragwortlb::config::{File, Folder};

use crate::ports;

/// Size of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// Babysitting bookings: three availability zones, nine instances.
    Nido,
    /// Ice cream orders: four availability zones, eight instances.
    Cascade,
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Size, String> {
        match text {
            "nido" => Ok(Size::Nido),
            "cascade" => Ok(Size::Cascade),
            other => Err(format!("{other:?} is not nido or cascade")),
        }
    }
}

impl Size {
    /// Names of the availability zones.
    pub fn zones(self) -> &'static [&'static str] {
        match self {
            Size::Nido => &["pa", "ct", "me"],
            Size::Cascade => &["sea", "tac", "oly", "bel"],
        }
    }

    /// Number of instances.
    pub fn instances(self) -> usize {
        match self {
            Size::Nido => 9,
            Size::Cascade => 8,
        }
    }

    /// Names of the high-priority service and of the low-priority one.
    pub fn services(self) -> [&'static str; 2] {
        match self {
            Size::Nido => ["booking", "documents"],
            Size::Cascade => ["orders", "catalog"],
        }
    }
}

/// Number of configured targets of the high-priority service.
pub const URGENT_TARGETS: usize = 14;

/// Number of targets of the low-priority service.
pub const LOW_TARGETS: usize = 4;

/// Concurrency slots of a target.
pub const SLOTS: usize = 3;

/// Target of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: String,
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address.
    pub address: SocketAddr,
    /// Whether the configuration lists it; a spare target is not listed.
    pub is_configured: bool,
    /// Whether the configuration marks it as leaving.
    pub is_leaving: bool,
}

/// Service of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Priority class in the configuration: `high` or `low`.
    pub urgency: String,
    /// Whether requests of one flow may go to different targets.
    pub movable: bool,
}

/// Site of a user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Size.
    pub size: Size,
    /// Services; the first one has the high priority.
    pub services: Vec<Service>,
    /// Targets, configured or spare.
    pub targets: Vec<Target>,
    /// Concurrency slots of each target.
    pub slots: usize,
}

impl Site {
    /// Creates a site with `spares` additional targets of the high-priority service.
    /// `movable` applies to both services.
    ///
    /// # Errors
    ///
    /// Not enough free ports are available.
    pub fn new(size: Size, spares: usize, movable: bool) -> io::Result<Site> {
        let zones = size.zones();
        let mut addresses = ports::free(URGENT_TARGETS + spares + LOW_TARGETS + 2)?.into_iter();
        let mut next = || addresses.next().expect("enough ports were allocated");
        let mut services = Vec::new();
        let mut targets = Vec::new();
        let counts = [(URGENT_TARGETS, spares, "high"), (LOW_TARGETS, 0, "low")];
        for (name, (configured, spare, urgency)) in size.services().into_iter().zip(counts) {
            let service =
                Service { name: name.to_owned(), address: next(), urgency: urgency.to_owned(), movable };
            services.push(service);
            for index in 0..configured + spare {
                targets.push(Target {
                    service: name.to_owned(),
                    name: format!("{}{index}", &name[..1]),
                    zone: zones[index % zones.len()].to_owned(),
                    address: next(),
                    is_configured: index < configured,
                    is_leaving: false,
                });
            }
        }
        Ok(Site { size, services, targets, slots: SLOTS })
    }

    /// Configuration folder of the site, with one document.
    pub fn folder(&self) -> Folder {
        Folder::new(vec![File::new("10-site.jsonc", self.document().into_bytes())])
    }

    /// Text of the document that describes the site.
    pub fn document(&self) -> String {
        let mut text =
            String::from("{\"title\": \"site\", \"author\": \"operators\", \"reason\": \"start\",\n");
        text.push_str("\"services\": {");
        for (index, service) in self.services.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            let _ = write!(
                text,
                "{comma}\n\"{}\": {{\"address\": \"{}\", \"urgency\": \"{}\", \"movable\": {},\n\"targets\": {{",
                service.name, service.address, service.urgency, service.movable
            );
            self.write_targets(&mut text, &service.name);
            text.push_str("\n}}");
        }
        text.push_str("}}\n");
        text
    }

    fn write_targets(&self, text: &mut String, service: &str) {
        let configured =
            self.targets.iter().filter(|target| target.service == service && target.is_configured);
        for (index, target) in configured.enumerate() {
            let comma = if index > 0 { "," } else { "" };
            let _ = write!(
                text,
                "{comma}\n\"{}\": {{\"address\": \"{}\", \"zone\": \"{}\", \"slots\": {}, \"leaving\": {}}}",
                target.name, target.address, target.zone, self.slots, target.is_leaving
            );
        }
    }
}
