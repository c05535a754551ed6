//! Numbers places, so that tables stay compact.

use world::{Place, Zones};

/// Number of a place within [`Places`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlaceId(u16);

impl PlaceId {
    /// Returns the id of the place at `index`.
    ///
    /// # Panics
    /// If `index` is over 65,535.
    #[must_use]
    pub fn new(index: usize) -> Self {
        Self(u16::try_from(index).expect("a site has at most 65,535 places"))
    }

    /// Returns the index into tables with one row per place.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    pub(crate) fn raw(self) -> u16 {
        self.0
    }
}

/// Every place of the site, in the order of the settings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Places {
    places: Vec<Place>,
    /// Index of the region of each place.
    regions: Vec<u16>,
}

impl Places {
    /// Numbers the places of a site.
    #[must_use]
    pub fn new(zones: &Zones) -> Self {
        let mut table = Self::default();
        for (index, region) in (0u16..).zip(&zones.regions) {
            for domain in &region.domains {
                let place = Place::new(region.name.clone(), domain.name.clone());
                table.places.push(place);
                table.regions.push(index);
            }
        }
        table
    }

    /// Returns the number of places.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether the site has no place.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the ids of all places.
    pub fn ids(&self) -> impl Iterator<Item = PlaceId> + use<> {
        (0..self.places.len()).map(PlaceId::new)
    }

    /// Returns the id of a place, if the site has it.
    #[must_use]
    pub fn id(&self, place: &Place) -> Option<PlaceId> {
        let index = self.places.iter().position(|p| p == place)?;
        Some(PlaceId::new(index))
    }

    /// Returns the place with this id.
    #[must_use]
    pub fn place(&self, id: PlaceId) -> &Place {
        &self.places[id.index()]
    }

    /// Returns whether two places are in the same region.
    #[must_use]
    pub fn same_region(&self, a: PlaceId, b: PlaceId) -> bool {
        self.region(a) == self.region(b)
    }

    /// Returns the index of a place's region.
    #[must_use]
    pub fn region(&self, id: PlaceId) -> u16 {
        self.regions[id.index()]
    }
}
